// Estimates how much work a resource carries while its targets are met.
#include "Routing/CapacityEstimate.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

constexpr double kFirstLimitSeconds = 0.5;
constexpr double kMaxLimitSeconds = 30.0;
constexpr double kAverageWeight = 0.1;
constexpr double kDeviations = 2.0;
constexpr double kIncreaseShare = 0.05;
constexpr double kLeastDecrease = 0.1;
constexpr double kMostDecrease = 0.5;
constexpr double kSlowdownBound = 2.0;
// The least time seen is let rise, so that a changed service is noticed.
constexpr double kLeastRise = 1.005;
constexpr double kRateWeight = 0.3;
constexpr double kMinRateShare = 0.05;
constexpr double kMaxRateShare = 2.0;
constexpr std::uint32_t kWindowRequests = 16;
constexpr double kMinWindowSeconds = 0.05;

double
ToSeconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e9;
}

} // namespace

void
CapacityEstimate::Configure(TimePoint aNow, double aCostPerSecond)
{
  if (aCostPerSecond == m_configured) {
    return;
  }
  if (m_configured > 0 && aCostPerSecond > 0) {
    const double change = aCostPerSecond / m_configured;
    m_limit *= change;
    m_rate *= change;
  } else {
    m_limit = aCostPerSecond * kFirstLimitSeconds;
    m_rate = aCostPerSecond;
    m_windowStart = aNow;
  }
  m_configured = aCostPerSecond;
  Clamp();
}

Duration
CapacityEstimate::ServiceTime(double aCost) const
{
  const double seconds = aCost * (m_perCost + kDeviations * m_deviation);
  return Duration(static_cast<std::int64_t>(seconds * 1e9));
}

void
CapacityEstimate::NoteFinished(TimePoint aNow, const FinishedWork& aWork)
{
  const double cost = std::max(aWork.m_cost, 1e-9);
  const double perCost = ToSeconds(aWork.m_taken) / cost;
  if (m_perCost == 0) {
    m_perCost = perCost;
    m_least = perCost;
    m_meanCost = cost;
  }
  const double error = perCost - m_perCost;
  m_perCost += kAverageWeight * error;
  m_deviation += kAverageWeight * (std::abs(error) - m_deviation);
  m_meanCost += kAverageWeight * (cost - m_meanCost);
  ++m_finished;
  m_late += aWork.m_inTime ? 0 : 1;
  m_allowedLate += aWork.m_allowedLate;
  m_served += cost;
  const double window = ToSeconds(aNow - m_windowStart);
  const double least = std::max(kMinWindowSeconds, m_perCost * m_meanCost);
  if (m_finished >= kWindowRequests && window >= least) {
    EndWindow(aNow);
  }
}

void
CapacityEstimate::EndWindow(TimePoint aNow)
{
  AdaptRate(ToSeconds(aNow - m_windowStart));
  AdaptLimit();
  Clamp();
  m_windowStart = aNow;
  m_finished = 0;
  m_late = 0;
  m_allowedLate = 0;
  m_served = 0;
  m_saturated = false;
}

void
CapacityEstimate::AdaptRate(double aSeconds)
{
  const double measured = m_served / aSeconds;
  // Without saturation the demand was measured, not the capacity.
  if (m_saturated || measured > m_rate) {
    m_rate += kRateWeight * (measured - m_rate);
  }
}

void
CapacityEstimate::AdaptLimit()
{
  m_least = std::min(m_least * kLeastRise, m_perCost);
  const double late = m_late;
  if (late > m_allowedLate / 2.0) {
    const double share = late / m_finished;
    m_limit *= 1.0 - std::clamp(share, kLeastDecrease, kMostDecrease);
    return;
  }
  if (m_saturated && m_perCost <= kSlowdownBound * m_least) {
    m_limit += kIncreaseShare * m_limit + m_meanCost;
  }
}

void
CapacityEstimate::Clamp()
{
  m_limit = std::clamp(
    m_limit, m_meanCost, std::max(m_meanCost, m_configured * kMaxLimitSeconds));
  m_rate = std::clamp(
    m_rate, m_configured * kMinRateShare, m_configured * kMaxRateShare);
}

} // namespace parsleycove
