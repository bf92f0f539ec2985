// Results of the action ledger's steps.
#pragma once

#include <cstdint>
#include <string>

#include "State/ActionEntry.h"
#include "StateGenerated.h"

namespace parsleycove {

// Nothing was done, and nothing is told of any entry.
state::CommandResultT
RefuseAction(state::ResultCode aCode, std::string aText);
state::CommandResultT
RefuseMissingKey(const std::string& aKey);
// The step's attempt no longer holds the key; tells what the ledger holds.
state::CommandResultT
RefuseStaleAttempt(const ActionEntry& aEntry, std::uint64_t aAttempt);
// Tells what the ledger holds.
state::CommandResultT
ReportEntry(const ActionEntry& aEntry,
            state::ResultCode aCode = state::ResultCode::Ok,
            std::string aText = {});
// The same for the proposer that holds the key.
state::CommandResultT
ReportToOwner(const ActionEntry& aEntry);

} // namespace parsleycove
