// Ends waits that have lasted too long.
#include "Forwarding/ActivityWatch.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

ActivityWatch::ActivityWatch(boost::asio::io_context& aContext,
                             Duration aInterval)
  : m_interval(aInterval)
  , m_timer(aContext)
{
}

void
ActivityWatch::Add(Watched& aWatched)
{
  m_watched.push_back(aWatched);
  if (!m_scheduled) {
    Schedule();
  }
}

void
ActivityWatch::SetObserver(std::function<void(TimePoint)> aObserver)
{
  m_observer = std::move(aObserver);
}

void
ActivityWatch::Schedule()
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
ActivityWatch::Check()
{
  const TimePoint now = BootClock::now();
  m_lastDelay = std::max(now - m_dueAt, Duration::zero());
  if (m_observer) {
    m_observer(now);
  }
  for (auto place = m_watched.begin(); place != m_watched.end();) {
    Watched& watched = *place++;
    if (watched.Deadline() <= now) {
      watched.OnOverdue(now);
    }
  }
  if (!m_watched.empty()) {
    Schedule();
  }
}

} // namespace parsleycove
