// Ends waits whose deadline has passed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include "Base/Clock.h"

namespace parsleycove {

// A wait with a deadline that the monitor can end.
class MonitoredWait
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  virtual ~MonitoredWait() = default;
  // Called at every check after Deadline(). Must not destroy any monitored
  // wait.
  virtual void OnDeadline(TimePoint aNow) = 0;
  // Brings the end of the wait forward to aLatest, if it is later.
  virtual void LimitDeadline(TimePoint aLatest)
  {
    m_deadline = std::min(m_deadline, aLatest);
  }

  TimePoint Deadline() const { return m_deadline; }
  void SetDeadline(TimePoint aDeadline) { m_deadline = aDeadline; }
  void ClearDeadline() { m_deadline = TimePoint::max(); }

private:
  TimePoint m_deadline = TimePoint::max();
};

// Uses one timer for all waits of a thread, in place of one timer per read.
//
// Invariant: the timer runs while the monitor has waits.
class DeadlineMonitor
{
public:
  DeadlineMonitor(boost::asio::io_context& aContext, Duration aInterval);

  void Add(MonitoredWait& aWait);
  // Limits the deadlines of the waits that were added before.
  void LimitDeadlines(TimePoint aLatest);
  // Sets a function that runs at every check, before overdue waits are
  // notified.
  void SetObserver(std::function<void(TimePoint)> aObserver);
  // Returns how late the last check was. After a late check, silence of
  // endpoints may be a pause of this process.
  Duration LastCheckDelay() const { return m_lastDelay; }
  std::size_t Size() const { return m_waits.size(); }

private:
  void Schedule();
  void Check();

  const Duration m_interval;
  boost::asio::steady_timer m_timer;
  boost::intrusive::list<MonitoredWait,
                         boost::intrusive::constant_time_size<false>>
    m_waits;
  std::function<void(TimePoint)> m_observer;
  TimePoint m_dueAt{};
  Duration m_lastDelay{};
  bool m_scheduled = false;
};

} // namespace parsleycove
