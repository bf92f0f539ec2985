// Coroutine wrappers for the calls of ControlPort.
#include "Forwarding/ControlCalls.h"

#include <memory>
#include <utility>

#include <boost/asio/post.hpp>

#include "Forwarding/AsyncSlot.h"

namespace parsleycove {

namespace {

// ControlPort calls every handler at the deadline at the latest. If the call is
// still missing after this extra time, the outcome is unknown.
constexpr Duration kHandlerSlack = std::chrono::seconds(2);

// Starts a call of ControlPort and waits for the call's handler.
//
// The handler may run on any thread, even after the coroutine has stopped
// waiting. Handler and coroutine therefore share ownership of the slot, and the
// slot is set on the context's thread.
template<typename Outcome, typename Start>
asio::awaitable<Outcome>
AwaitHandler(asio::io_context& aContext, TimePoint aDeadline, Start aStart)
{
  auto slot = std::make_shared<AsyncSlot<Outcome>>(aContext.get_executor());
  aStart([slot, &aContext](auto aValue, ControlReason aReason) {
    auto outcome = std::make_shared<Outcome>(
      Outcome{ std::move(aValue), std::move(aReason) });
    asio::post(aContext, [slot, outcome] { slot->Set(std::move(*outcome)); });
  });
  const Duration timeout = aDeadline - BootClock::now() + kHandlerSlack;
  std::optional<Outcome> outcome = co_await slot->Await(timeout);
  if (!outcome) {
    outcome.emplace();
    outcome->m_reason.Set(ControlError::Unknown, "no answer in time");
  }
  co_return std::move(*outcome);
}

} // namespace

asio::awaitable<ProposeOutcome>
Propose(ControlPort& aPort,
        asio::io_context& aContext,
        state::CommandT aCommand,
        TimePoint aDeadline)
{
  const auto start = [&](auto aHandler) {
    aPort.Propose(std::move(aCommand), aDeadline, std::move(aHandler));
  };
  co_return co_await AwaitHandler<ProposeOutcome>(aContext, aDeadline, start);
}

asio::awaitable<ReadActionOutcome>
ReadAction(ControlPort& aPort,
           asio::io_context& aContext,
           std::string aAccount,
           std::string aKey,
           TimePoint aDeadline)
{
  const auto start = [&](auto aHandler) {
    aPort.ReadAction(aAccount, aKey, aDeadline, std::move(aHandler));
  };
  co_return co_await AwaitHandler<ReadActionOutcome>(
    aContext, aDeadline, start);
}

asio::awaitable<ConfirmOutcome>
ConfirmView(ControlPort& aPort, asio::io_context& aContext, TimePoint aDeadline)
{
  const auto start = [&](auto aHandler) {
    aPort.ConfirmView(aDeadline, std::move(aHandler));
  };
  co_return co_await AwaitHandler<ConfirmOutcome>(aContext, aDeadline, start);
}

asio::awaitable<StatusOutcome>
ReadStatus(ControlPort& aPort, asio::io_context& aContext, TimePoint aDeadline)
{
  const auto start = [&](auto aHandler) {
    aPort.ReadStatus(aDeadline, std::move(aHandler));
  };
  co_return co_await AwaitHandler<StatusOutcome>(aContext, aDeadline, start);
}

asio::awaitable<AdminOutcome>
AddReplica(ControlPort& aPort,
           asio::io_context& aContext,
           feed::AddReplicaT aRequest,
           TimePoint aDeadline)
{
  const auto start = [&](auto aHandler) {
    aPort.AddReplica(std::move(aRequest), aDeadline, std::move(aHandler));
  };
  co_return co_await AwaitHandler<AdminOutcome>(aContext, aDeadline, start);
}

asio::awaitable<AdminOutcome>
RemoveReplica(ControlPort& aPort,
              asio::io_context& aContext,
              std::uint64_t aReplica,
              TimePoint aDeadline)
{
  const auto start = [&](auto aHandler) {
    aPort.RemoveReplica(aReplica, aDeadline, std::move(aHandler));
  };
  co_return co_await AwaitHandler<AdminOutcome>(aContext, aDeadline, start);
}

} // namespace parsleycove
