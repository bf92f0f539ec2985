// Finds out whether an endpoint of a plain service has ended.
//
// Plain services are not asked for their state. When a call breaks before its
// answer, a new connection tells whether the endpoint's process is gone; only
// then the request that it had not answered may be why.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "Base/Clock.h"
#include "Routing/Runner.h"
#include "Wire/Http.h"

namespace parsleycove {

class ConnectionPool;
class DeadlineMonitor;
class ReachMonitor;

// Used by one thread only.
class EndpointChecker
{
public:
  EndpointChecker(asio::io_context& aContext,
                  ConnectionPool& aPool,
                  DeadlineMonitor& aDeadlines,
                  ReachMonitor& aReach);

  // Tries a new connection, unless one was tried a moment ago, and records the
  // endpoint as lost if it is refused. A missing answer shows nothing.
  void Check(TimePoint aNow, const RunnerPtr& aRunner);

private:
  asio::awaitable<void> TryConnection(RunnerPtr aRunner);

  asio::io_context& m_context;
  ConnectionPool& m_pool;
  DeadlineMonitor& m_deadlines;
  ReachMonitor& m_reach;
  // When a connection was last tried, by IncarnationKey(); older entries than
  // the interval between two are dropped.
  std::unordered_map<std::uint64_t, TimePoint> m_triedAt;
};

} // namespace parsleycove
