// JSON form of pipeline steps; see docs/integrate/engine-protocol.md.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Reason.h"
#include "Gateway/StepCall.h"

namespace parsleycove {

enum class EngineCodecError
{
  None,
  Malformed,
};
using EngineCodecReason = Reason<EngineCodecError>;

std::string
PrintSteps(const std::vector<const StepCall*>& aCalls);

// Returns one answer for each call, in the order of the calls. A body that
// lacks one of them is malformed.
std::optional<std::vector<StepAnswer>>
ParseStepResults(std::string_view aBody,
                 const std::vector<const StepCall*>& aCalls,
                 EngineCodecReason& aReason);

} // namespace parsleycove
