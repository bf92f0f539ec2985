// Interface through which the leader probes engines and orders them to hold
// layers. The deployment provides the transport.
#pragma once

#include <cstdint>

#include "Routing/LayerLayout.h"
#include "Routing/Runner.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class OrderOutcome
{
  // The engine is loading the layers or holds them already.
  Accepted,
  // The order does not fit the current state of the engine.
  Refused,
  // The engine has seen a higher fencing token: another leader sends orders.
  Fenced,
  // No connection, or another endpoint has the address.
  NotDelivered,
  // The engine may have accepted the order, or may still carry it out.
  Unknown,
};

enum class EngineProbeResult
{
  Answered,
  // No connection: nothing listens at the engine's address.
  Unreachable,
  // The engine did not answer in time, or the connection broke.
  NoAnswer,
};

class EngineOrders
{
public:
  virtual ~EngineOrders() = default;
  // Sends the engine a request that costs it nothing.
  virtual asio::awaitable<EngineProbeResult> Probe(RunnerPtr aEngine) = 0;
  // Orders the engine to hold exactly the layers of aSpan. aFence is the
  // leader's fencing token; each new leader has a higher one.
  virtual asio::awaitable<OrderOutcome> HoldLayers(RunnerPtr aEngine,
                                                   LayerSpan aSpan,
                                                   std::uint64_t aFence) = 0;
};

} // namespace parsleycove
