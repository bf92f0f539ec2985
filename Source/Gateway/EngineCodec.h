// JSON form of pipeline steps; see docs/integrate/engine-protocol.md.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/Reason.h"
#include "Gateway/EngineStep.h"

namespace parsleycove {

enum class EngineCodecError
{
  None,
  Malformed,
};
using EngineCodecReason = Reason<EngineCodecError>;

std::string
PrintSteps(const std::vector<const EngineStep*>& aSteps);

// Returns one result for each step, in the order of the steps. An answer that
// lacks one of them, or is about another position, is malformed.
std::optional<std::vector<EngineStepResult>>
ParseStepResults(std::string_view aBody,
                 const std::vector<const EngineStep*>& aSteps,
                 EngineCodecReason& aReason);

} // namespace parsleycove
