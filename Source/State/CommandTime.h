// The time that a command carries.
#pragma once

#include <cstdint>

#include "StateGenerated.h"

namespace parsleycove {

// The proposer's time, 0 for commands without one.
std::uint64_t
ReadCommandTime(const state::CommandT& aCommand);

// Sets the time of a command that carries one.
//
// To be called by the leader before it appends a command: the state's time is
// the highest seen, so a gateway whose clock runs far ahead would otherwise
// make every idempotency key that carries its time look expired.
void
StampCommand(state::CommandT& aCommand, std::uint64_t aUnixMs);

} // namespace parsleycove
