// Holds what one gateway may still send to an endpoint that has named a limit.
#include "Routing/RequestQuota.h"

#include <algorithm>

namespace parsleycove {

namespace {

// Covers rounding in sums of tokens.
constexpr double kAlmostOne = 1 - 1e-9;

} // namespace

double
RequestQuota::Tokens(TimePoint aNow) const
{
  const Duration age = std::max(aNow - m_at, Duration::zero());
  const double earned =
    m_perSecond * std::chrono::duration<double>(age).count();
  return std::min(m_tokens + earned, Capacity());
}

void
RequestQuota::SetRate(TimePoint aNow, double aPerSecond)
{
  const double tokens = m_isLimited ? Tokens(aNow) : 0;
  m_isLimited = true;
  m_perSecond = aPerSecond;
  m_tokens = std::min(tokens, Capacity());
  m_at = aNow;
}

bool
RequestQuota::MayTake(TimePoint aNow) const
{
  return !m_isLimited || (m_perSecond > 0 && Tokens(aNow) >= kAlmostOne);
}

void
RequestQuota::Take(TimePoint aNow)
{
  if (m_isLimited) {
    m_tokens = Tokens(aNow) - 1;
    m_at = std::max(m_at, aNow);
  }
}

void
RequestQuota::GiveBack(TimePoint aNow)
{
  if (m_isLimited) {
    m_tokens = std::min(Tokens(aNow) + 1, Capacity());
    m_at = std::max(m_at, aNow);
  }
}

TimePoint
RequestQuota::NextAt(TimePoint aNow) const
{
  if (MayTake(aNow)) {
    return aNow;
  }
  const double missing = 1 - Tokens(aNow);
  const double most = std::chrono::duration<double>(kMaxWait).count();
  if (missing >= most * m_perSecond) {
    return aNow + kMaxWait;
  }
  // Rounded up, so that the token is there at that time.
  return aNow +
         std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(missing / m_perSecond)) +
         std::chrono::microseconds(1);
}

} // namespace parsleycove
