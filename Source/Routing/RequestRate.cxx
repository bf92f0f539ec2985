// Estimates how many requests a second something gets.
#include "Routing/RequestRate.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

double
InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void
RequestRate::Record(TimePoint aNow)
{
  m_perSecond = PerSecond(aNow) + 1 / InSeconds(kTimeConstant);
  m_at = std::max(m_at, aNow);
}

double
RequestRate::PerSecond(TimePoint aNow) const
{
  const double age = InSeconds(std::max(aNow - m_at, Duration::zero()));
  return m_perSecond * std::exp(-age / InSeconds(kTimeConstant));
}

} // namespace parsleycove
