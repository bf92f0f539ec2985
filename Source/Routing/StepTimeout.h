// How long a stage may stay silent.
#pragma once

#include "Base/Clock.h"
#include "Routing/ClassTargets.h"
#include "Routing/Runner.h"
#include "Routing/StreamAction.h"

namespace parsleycove {

// Returns the time after which an unanswered step counts as lost: a multiple
// of the class's token interval or of the runner's usual round trip, and more
// for a prompt. aIsFirstToken is true until the caller was given a token.
Duration
ComputeStepTimeout(const ClassTargets& aTargets,
                   const Runner& aRunner,
                   const EngineStep& aStep,
                   bool aIsFirstToken);

} // namespace parsleycove
