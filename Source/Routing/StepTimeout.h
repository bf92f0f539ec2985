// Time within which a stage must answer a step.
#pragma once

#include "Base/Clock.h"
#include "Routing/ClassTargets.h"
#include "Routing/Runner.h"
#include "Routing/StreamAction.h"

namespace parsleycove {

// Returns the time after which an unanswered step counts as failed: a multiple
// of the longer of the class's token interval and the runner's usual round
// trip, and more for a prompt. aIsFirstToken is true until the caller has
// received a token.
Duration
ComputeStepTimeout(const ClassTargets& aTargets,
                   const Runner& aRunner,
                   const EngineStep& aStep,
                   bool aIsFirstToken);

} // namespace parsleycove
