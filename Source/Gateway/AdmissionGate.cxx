// Lets requests of one worker wait for their turn.
#include "Gateway/AdmissionGate.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace parsleycove {

namespace {

// Far beyond any deadline; a waiting request is always resolved earlier.
constexpr Duration kLongest = std::chrono::hours(1);

} // namespace

AdmissionGate::AdmissionGate(asio::any_io_executor aExecutor)
  : m_executor(std::move(aExecutor))
  , m_timer(m_executor)
{
}

void
AdmissionGate::SetCapacity(const std::string& aResource, double aCostPerSecond)
{
  m_controller.SetCapacity(BootClock::now(), aResource, aCostPerSecond);
  Pump();
}

asio::awaitable<AdmissionDecision>
AdmissionGate::Enter(AdmissionRequest aRequest)
{
  const AdmissionDecision decision =
    m_controller.Submit(BootClock::now(), aRequest);
  if (decision.m_status != AdmissionStatus::Queued) {
    co_return decision;
  }
  auto slot = std::make_shared<Slot>(m_executor);
  m_waiting.emplace(aRequest.m_id, slot);
  Pump();
  std::optional<AdmissionDecision> outcome = co_await slot->Await(kLongest);
  co_return outcome.value_or(AdmissionDecision{ AdmissionStatus::Refused });
}

void
AdmissionGate::Leave(std::uint64_t aId, const AdmissionOutcome& aOutcome)
{
  m_controller.Finish(BootClock::now(), aId, aOutcome);
  Pump();
}

void
AdmissionGate::Pump()
{
  const AdmissionBatch batch = m_controller.TakeReady(BootClock::now());
  for (const std::uint64_t id : batch.m_start) {
    Resolve(id, { AdmissionStatus::Admitted });
  }
  for (const RefusedRequest& refused : batch.m_refused) {
    Resolve(
      refused.m_id,
      { AdmissionStatus::Refused, refused.m_refusal, refused.m_retryAfter });
  }
  ScheduleTimer();
}

void
AdmissionGate::Resolve(std::uint64_t aId, const AdmissionDecision& aDecision)
{
  if (const auto found = m_waiting.find(aId); found != m_waiting.end()) {
    found->second->Set(aDecision);
    m_waiting.erase(found);
  }
}

void
AdmissionGate::ScheduleTimer()
{
  const TimePoint due = m_controller.NextDeadline();
  if (due == TimePoint::max()) {
    m_timer.cancel();
    return;
  }
  m_timer.expires_after(due - BootClock::now());
  m_timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Pump();
    }
  });
}

} // namespace parsleycove
