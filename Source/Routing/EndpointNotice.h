// Holds what an endpoint has said in its answers about taking new work.
//
// The decision covers two situations. During a release, an endpoint announces
// in its answers that it leaves, before the feed of endpoints says so. Under a
// burst, an endpoint refuses a request and asks each gateway for patience,
// while more requests to it are already on their way.
#pragma once

#include <atomic>
#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// Notices of one endpoint id and incarnation, shared by all threads. An
// endpoint that starts again has a new incarnation and no notices.
//
// Invariants: a leaving endpoint stays so; a pause is never shortened, because
// answers may arrive in another order than they were sent in.
class EndpointNotice
{
public:
  // Returns true if the endpoint was not known to leave.
  bool MarkLeaving()
  {
    return !m_isLeaving.exchange(true, std::memory_order_relaxed);
  }
  bool IsLeaving() const { return m_isLeaving.load(std::memory_order_relaxed); }

  // Starts or extends the pause. aFor counts from the arrival of the answer, so
  // the pause ends no earlier than the endpoint asked for. Returns true if the
  // endpoint was not paused before.
  bool PauseFor(TimePoint aNow, Duration aFor);
  // Returns the end of the last pause, or the clock's epoch if there was none.
  TimePoint PausedUntil() const
  {
    return TimePoint(Duration(m_pausedUntilNs.load(std::memory_order_relaxed)));
  }
  bool IsPaused(TimePoint aNow) const { return aNow < PausedUntil(); }

  bool TakesNewWork(TimePoint aNow) const
  {
    return !IsLeaving() && !IsPaused(aNow);
  }

  // Returns true for the first answer with an unreadable notice only, so that
  // an endpoint that always sends one does not fill the log.
  bool ClaimFaultReport()
  {
    return !m_hasReportedFault.exchange(true, std::memory_order_relaxed);
  }

private:
  std::atomic<bool> m_isLeaving{ false };
  std::atomic<bool> m_hasReportedFault{ false };
  std::atomic<std::int64_t> m_pausedUntilNs{ 0 };
};

} // namespace parsleycove
