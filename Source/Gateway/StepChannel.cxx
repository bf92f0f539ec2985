// Sends pipeline steps of many streams to one engine in batches.
#include "Gateway/StepChannel.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Gateway/EngineCodec.h"

namespace parsleycove {

StepChannel::Pending::Pending(const asio::any_io_executor& aExecutor,
                              StepCall aCall)
  : m_call(std::move(aCall))
  , m_slot(aExecutor)
{
}

StepChannel::StepChannel(asio::any_io_executor aExecutor,
                         EndpointClient& aClient,
                         SocketAddress aAddress)
  : m_executor(std::move(aExecutor))
  , m_client(aClient)
  , m_address(std::move(aAddress))
{
}

asio::awaitable<StepOutcome>
StepChannel::Submit(StepCall aCall, Duration aTimeout)
{
  auto pending = std::make_shared<Pending>(m_executor, std::move(aCall));
  pending->m_deadline = BootClock::now() + aTimeout;
  m_waiting.push_back(pending);
  StartCalls();
  std::optional<StepOutcome> outcome = co_await pending->m_slot.Await(aTimeout);
  if (outcome) {
    co_return std::move(*outcome);
  }
  StepOutcome silent;
  silent.m_reason.Set(CallError::NoAnswer,
                      "no result from " + m_address.ToString());
  m_wantsFreshConnection = true;
  co_return silent;
}

void
StepChannel::StartCalls()
{
  while (m_calls < kMaxCalls && !m_waiting.empty()) {
    Batch batch = TakeBatch();
    if (batch.empty()) {
      return;
    }
    ++m_calls;
    asio::co_spawn(m_executor, RunCall(std::move(batch)), asio::detached);
  }
}

StepChannel::Batch
StepChannel::TakeBatch()
{
  // Nobody waits any more for a step whose time has run out.
  const TimePoint now = BootClock::now();
  std::erase_if(m_waiting, [now](const std::shared_ptr<Pending>& aPending) {
    return aPending->m_deadline <= now;
  });
  std::stable_sort(m_waiting.begin(),
                   m_waiting.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft->m_call.m_priority <
                            aRight->m_call.m_priority;
                   });
  const auto count = std::min(m_waiting.size(), kMaxStepsPerCall);
  const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
  Batch batch(std::make_move_iterator(m_waiting.begin()),
              std::make_move_iterator(end));
  m_waiting.erase(m_waiting.begin(), end);
  return batch;
}

asio::awaitable<void>
StepChannel::RunCall(Batch aBatch)
{
  std::vector<const StepCall*> steps;
  TimePoint deadline{};
  for (const auto& pending : aBatch) {
    steps.push_back(&pending->m_call);
    deadline = std::max(deadline, pending->m_deadline);
  }
  HttpRequest request =
    EndpointClient::MakeJsonPost(m_address, "/engine/steps", PrintSteps(steps));
  const ConnectionChoice choice = std::exchange(m_wantsFreshConnection, false)
                                    ? ConnectionChoice::New
                                    : ConnectionChoice::Reuse;
  const Duration timeout = deadline - BootClock::now();
  const CallResult result =
    co_await m_client.Call(m_address, std::move(request), timeout, choice);
  --m_calls;
  Distribute(aBatch, result);
  StartCalls();
}

void
StepChannel::Distribute(const Batch& aBatch, const CallResult& aResult)
{
  StepOutcome failure;
  failure.m_reason = aResult.m_reason;
  std::optional<std::vector<StepAnswer>> results;
  if (aResult.m_response) {
    std::vector<const StepCall*> steps;
    for (const auto& pending : aBatch) {
      steps.push_back(&pending->m_call);
    }
    EngineCodecReason reason;
    results = ParseStepResults(aResult.m_response->body(), steps, reason);
    failure.m_reason.Set(CallError::Broken, reason.m_text);
  }
  for (std::size_t i = 0; i < aBatch.size(); ++i) {
    StepOutcome outcome = failure;
    if (results) {
      outcome.m_answer = std::move((*results)[i]);
    }
    aBatch[i]->m_slot.Set(std::move(outcome));
  }
}

} // namespace parsleycove
