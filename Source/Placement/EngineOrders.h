// Orders to engines, whoever carries them.
#pragma once

#include <cstdint>

#include "Routing/LayerLayout.h"
#include "Routing/Runner.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class OrderOutcome
{
  // Begun, done, or the engine holds the layers already.
  Accepted,
  // It does not fit the engine's present state.
  Refused,
  // The engine has seen a higher fencing token: another leader gives orders.
  Fenced,
  // Another endpoint has the address.
  NotDelivered,
  // May have been taken, or may be carried out later.
  Unknown,
};

enum class EngineProbeResult
{
  Answered,
  // Nothing listens at its address.
  Unreachable,
  // No answer in time.
  NoAnswer,
};

class EngineOrders
{
public:
  virtual ~EngineOrders() = default;
  // Whether the engine answers a question that costs it nothing.
  virtual asio::awaitable<EngineProbeResult> Probe(RunnerPtr aEngine) = 0;
  // The engine is to hold exactly these layers. aFence grows with each leader.
  virtual asio::awaitable<OrderOutcome> HoldLayers(RunnerPtr aEngine,
                                                   LayerSpan aSpan,
                                                   std::uint64_t aFence) = 0;
};

} // namespace parsleycove
