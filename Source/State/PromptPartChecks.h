// Checks of the commands about prompt parts, apart from the table.
#pragma once

#include <cstddef>

#include "State/EntityChecks.h"
#include "StateGenerated.h"

namespace parsleycove {

// Suspects in one report, and parts of one suspect.
inline constexpr std::size_t kMaxCrashSuspects = 32;
inline constexpr std::size_t kMaxPartsPerSuspect = 32;
// Parts that one command clears.
inline constexpr std::size_t kMaxClearedParts = 64;
// Characters of the id of a part, an attempt or an endpoint.
inline constexpr std::size_t kMaxPromptIdLength = 128;

Fault
CheckPromptCrash(const state::ReportPromptCrashT& aCommand);
Fault
CheckClearPromptParts(const state::ClearPromptPartsT& aCommand);
Fault
CheckTryPromptPart(const state::TryPromptPartT& aCommand);

} // namespace parsleycove
