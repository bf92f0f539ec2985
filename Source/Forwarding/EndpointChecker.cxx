// Finds out whether an endpoint of a plain service has ended.
#include "Forwarding/EndpointChecker.h"

#include <memory>

#include "Forwarding/EndpointCall.h"
#include "Forwarding/ReachMonitor.h"
#include "Telemetry/LoggedSpawn.h"

namespace parsleycove {

namespace {

constexpr Duration kMinInterval = std::chrono::milliseconds(50);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);

} // namespace

EndpointChecker::EndpointChecker(asio::io_context& aContext,
                                 ConnectionPool& aPool,
                                 DeadlineMonitor& aDeadlines,
                                 ReachMonitor& aReach)
  : m_context(aContext)
  , m_pool(aPool)
  , m_deadlines(aDeadlines)
  , m_reach(aReach)
{
}

void
EndpointChecker::Check(TimePoint aNow, const RunnerPtr& aRunner)
{
  std::erase_if(m_triedAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kMinInterval;
  });
  if (m_triedAt.emplace(IncarnationKey(*aRunner), aNow).second) {
    SpawnLogged(m_context, "checking an endpoint", TryConnection(aRunner));
  }
}

asio::awaitable<void>
EndpointChecker::TryConnection(RunnerPtr aRunner)
{
  // A connection that is kept open would tell nothing.
  m_pool.CloseIdle(*aRunner);
  const auto call = std::make_shared<EndpointCall>(
    m_context.get_executor(), m_pool, aRunner, nullptr, CallInfo{});
  m_deadlines.Add(*call);
  const bool isConnected = co_await call->Connect(kConnectTimeout);
  const TimePoint now = BootClock::now();
  if (isConnected) {
    call->Abort(CallEnd::Superseded);
  } else if (!call->HasConnectTimedOut()) {
    m_reach.RecordUnreached(now, *aRunner);
    m_reach.ReportFailure(now, aRunner, FailureEvidence::Certain);
  }
  call->Release(now);
}

} // namespace parsleycove
