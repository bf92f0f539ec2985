// Ends waits whose deadline has passed.
#include "Forwarding/DeadlineMonitor.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

DeadlineMonitor::DeadlineMonitor(boost::asio::io_context& aContext,
                                 Duration aInterval)
  : m_interval(aInterval)
  , m_timer(aContext)
{
}

void
DeadlineMonitor::Add(MonitoredWait& aWait)
{
  m_waits.push_back(aWait);
  if (!m_scheduled) {
    Schedule();
  }
}

void
DeadlineMonitor::LimitDeadlines(TimePoint aLatest)
{
  for (MonitoredWait& wait : m_waits) {
    wait.LimitDeadline(aLatest);
  }
}

void
DeadlineMonitor::SetObserver(std::function<void(TimePoint)> aObserver)
{
  m_observer = std::move(aObserver);
}

void
DeadlineMonitor::Schedule()
{
  m_scheduled = true;
  m_dueAt = BootClock::now() + m_interval;
  m_timer.expires_after(m_interval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    m_scheduled = false;
    if (!aError) {
      Check();
    }
  });
}

void
DeadlineMonitor::Check()
{
  const TimePoint now = BootClock::now();
  m_lastDelay = std::max(now - m_dueAt, Duration::zero());
  if (m_observer) {
    m_observer(now);
  }
  for (auto place = m_waits.begin(); place != m_waits.end();) {
    MonitoredWait& wait = *place++;
    if (wait.Deadline() <= now) {
      wait.OnDeadline(now);
    }
  }
  if (!m_waits.empty()) {
    Schedule();
  }
}

} // namespace parsleycove
