// Ends waits that have lasted too long.
#pragma once

#include <cstddef>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include "Base/Clock.h"

namespace parsleycove {

// Something that waits and can be ended from outside.
class MonitoredWait
  : public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  virtual ~MonitoredWait() = default;
  // Called at every check after Deadline(). May destroy nothing.
  virtual void OnDeadline(TimePoint aNow) = 0;

  TimePoint Deadline() const { return m_deadline; }
  void SetDeadline(TimePoint aDeadline) { m_deadline = aDeadline; }
  void ClearDeadline() { m_deadline = TimePoint::max(); }

private:
  TimePoint m_deadline = TimePoint::max();
};

// One timer for all waits of a thread, in place of one for each read.
//
// Invariant: the timer runs while something is wait.
class DeadlineMonitor
{
public:
  DeadlineMonitor(boost::asio::io_context& aContext, Duration aInterval);

  void Add(MonitoredWait& aWait);
  // Runs at every check, before the overdue ones are told.
  void SetObserver(std::function<void(TimePoint)> aObserver);
  // How late the last check was; what seems silent may be our own pause.
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
