// Whether this VM takes new work, and how much is still in progress.
#include "Base/DrainState.h"

namespace parsleycove {

void
DrainState::Begin(TimePoint aNow)
{
  Duration::rep none = 0;
  m_begunAt.compare_exchange_strong(none, aNow.time_since_epoch().count());
}

DrainPhase
DrainState::Phase(TimePoint aNow) const
{
  const Duration::rep begunAt = m_begunAt;
  if (begunAt == 0) {
    return DrainPhase::Serving;
  }
  const bool inGrace = aNow < TimePoint(Duration(begunAt)) + m_grace;
  return inGrace ? DrainPhase::TurningAway : DrainPhase::Draining;
}

TimePoint
DrainState::WorkDeadline() const
{
  const Duration::rep begunAt = m_begunAt;
  return begunAt == 0 || m_workLimit == Duration::max()
           ? TimePoint::max()
           : TimePoint(Duration(begunAt)) + m_workLimit;
}

bool
DrainState::IsFinished(TimePoint aNow) const
{
  return Phase(aNow) == DrainPhase::Draining && m_active == 0;
}

} // namespace parsleycove
