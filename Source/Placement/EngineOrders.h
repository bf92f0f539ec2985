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
  Taken,
  // It does not fit the engine's present state.
  Refused,
  // The engine has seen a higher fencing token: another leader gives orders.
  Fenced,
  // Another endpoint has the address.
  NotThere,
  // May have been taken, or may be carried out later.
  Unknown,
};

enum class EnginePresence
{
  Answers,
  // Nothing listens at its address.
  Gone,
  // No answer in time.
  Silent,
};

class EngineOrders
{
public:
  virtual ~EngineOrders() = default;
  // Whether the engine answers a question that costs it nothing.
  virtual asio::awaitable<EnginePresence> Ask(RunnerPtr aEngine) = 0;
  // The engine is to hold exactly these layers. aFence grows with each leader.
  virtual asio::awaitable<OrderOutcome> HoldLayers(RunnerPtr aEngine,
                                                   LayerSpan aSpan,
                                                   std::uint64_t aFence) = 0;
};

} // namespace parsleycove
