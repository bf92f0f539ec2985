// Feature levels of the commands of the replicated log.
#pragma once

#include <cstdint>
#include <optional>

#include "StateGenerated.h"

namespace parsleycove {

// The highest feature level that this build reads. A process that states no
// level reads level 0: the commands of the builds from before there were levels
// for them.
//
// A new kind of command gets the next level in the table of CommandLevel.cxx.
// The level of a kind never changes.
constexpr std::uint32_t kFeatureLevel = 1;

// Returns std::nullopt for a kind that this build does not know.
std::optional<std::uint32_t>
FindCommandLevel(state::CommandBody aKind);

// Returns the level that a reader of the command needs, or std::nullopt if the
// command has no body or is of a kind that this build does not know.
std::optional<std::uint32_t>
FindCommandLevel(const state::CommandT& aCommand);

} // namespace parsleycove
