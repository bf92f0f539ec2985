// Whether this VM takes new work, and how much is still in progress.
#pragma once

#include <atomic>
#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

enum class DrainPhase
{
  // Takes new work.
  Serving,
  // /readyz says no, so that the balancer turns away; callers that arrive all
  // the same are still served.
  TurningAway,
  // New work is refused; what is in progress goes on to its end.
  Draining,
};

// A graceful stop moves through the phases in order and never back. A second
// order to stop changes nothing.
class DrainState
{
public:
  // aWorkLimit: all work ends this long after the stop begins; Duration::max()
  // if the process is not killed.
  explicit DrainState(Duration aGrace, Duration aWorkLimit = Duration::max())
    : m_grace(aGrace)
    , m_workLimit(aWorkLimit)
  {
  }

  void Begin(TimePoint aNow);
  DrainPhase Phase(TimePoint aNow) const;
  // Returns when all work has to end; TimePoint::max() before a stop begins.
  TimePoint WorkDeadline() const;

  // Work in progress: requests that run something.
  void Enter() { ++m_active; }
  void Leave() { --m_active; }
  std::uint64_t Active() const { return m_active; }
  // True when nothing is in progress any more and nothing new can begin.
  bool IsFinished(TimePoint aNow) const;

private:
  const Duration m_grace;
  const Duration m_workLimit;
  // Time since the clock's epoch at which the stop began; 0: not yet.
  std::atomic<Duration::rep> m_begunAt{ 0 };
  std::atomic<std::uint64_t> m_active{ 0 };
};

// Counts one request as in progress for as long as it lives.
class ActiveRequest
{
public:
  explicit ActiveRequest(DrainState& aState)
    : m_state(aState)
  {
    m_state.Enter();
  }
  ~ActiveRequest() { m_state.Leave(); }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

private:
  DrainState& m_state;
};

} // namespace parsleycove
