// Sends pipeline steps of many streams to one engine in batches.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "Base/SocketAddress.h"
#include "Forwarding/AsyncSlot.h"
#include "Forwarding/CallResult.h"
#include "Forwarding/EndpointClient.h"
#include "Gateway/StepCall.h"

namespace parsleycove {

// What became of a step: an answer, or the reason why there is none.
struct StepOutcome
{
  std::optional<StepAnswer> m_answer;
  CallReason m_reason;
};

// Collects steps while the calls before them are under way, so that one call
// carries the steps of many streams.
//
// Invariant: used from one thread only.
class StepChannel
{
public:
  StepChannel(asio::any_io_executor aExecutor,
              EndpointClient& aClient,
              SocketAddress aAddress);

  // Waits for the result for at most aTimeout.
  asio::awaitable<StepOutcome> Submit(StepCall aCall, Duration aTimeout);

private:
  // More calls side by side let short steps pass a long one.
  static constexpr std::size_t kMaxCalls = 4;
  static constexpr std::size_t kMaxStepsPerCall = 256;

  struct Pending
  {
    Pending(const asio::any_io_executor& aExecutor, StepCall aCall);
    StepCall m_call;
    TimePoint m_deadline;
    AsyncSlot<StepOutcome> m_slot;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;

  void StartCalls();
  Batch TakeBatch();
  asio::awaitable<void> RunCall(Batch aBatch);
  void Distribute(const Batch& aBatch, const CallResult& aResult);

  asio::any_io_executor m_executor;
  EndpointClient& m_client;
  const SocketAddress m_address;
  Batch m_waiting;
  std::size_t m_calls = 0;
  // After silence or a broken connection the next call opens a new one.
  bool m_wantsFreshConnection = false;
};

} // namespace parsleycove
