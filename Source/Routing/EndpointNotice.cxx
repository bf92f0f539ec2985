// Holds what an endpoint has said in its answers about taking new work.
#include "Routing/EndpointNotice.h"

namespace parsleycove {

bool
EndpointNotice::PauseFor(TimePoint aNow, Duration aFor)
{
  const std::int64_t until = (aNow + aFor).time_since_epoch().count();
  std::int64_t known = m_pausedUntilNs.load(std::memory_order_relaxed);
  const bool wasPaused = IsPaused(aNow);
  while (known < until && !m_pausedUntilNs.compare_exchange_weak(
                            known, until, std::memory_order_relaxed)) {
  }
  return !wasPaused && aFor > Duration::zero();
}

} // namespace parsleycove
