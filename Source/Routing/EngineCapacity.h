// Estimates the capacity and speed of engines that hold a part of a model.
#pragma once

#include "Base/Clock.h"
#include "Routing/LayerLayout.h"
#include "Routing/RoutingConfig.h"
#include "Routing/Runner.h"

namespace parsleycove {

// Returns the KV cache capacity, in tokens, that the engine's layers leave for
// requests; 0 if the engine holds no layers or the model does not list its
// accelerator kind.
double
KvCapacityTokens(const LayeredModel& aModel, const Runner& aRunner);

// Returns the time in ms to prefill one token on the layers of aSpan.
double
PrefillMs(const LayeredModel& aModel,
          const LayerSpan& aSpan,
          const Runner& aRunner,
          TimePoint aNow);

} // namespace parsleycove
