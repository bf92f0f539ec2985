// Wire form of one command of the replicated log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "State/StateReason.h"
#include "StateGenerated.h"

namespace parsleycove {

std::vector<std::uint8_t>
EncodeCommand(const state::CommandT& aCommand);

// Verifies the buffer; nothing and a reason when it is not a whole command.
std::optional<state::CommandT>
DecodeCommand(const std::uint8_t* aData,
              std::size_t aSize,
              StateReason& aReason);

} // namespace parsleycove
