// Estimates how much work a resource carries while its targets are met.
#include "Routing/CapacityEstimate.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

// Before anything was measured, work may take this share of its target.
constexpr double kFirstLimitShare = 0.25;
constexpr double kMaxLimitSeconds = 30.0;
constexpr double kAverageWeight = 0.1;
constexpr double kDeviations = 2.0;
constexpr double kIncreaseShare = 0.05;
// Until the limit was first found too high.
constexpr double kFirstIncreaseShare = 0.5;
constexpr double kLeastDecrease = 0.1;
constexpr double kMostDecrease = 0.5;
constexpr double kSlowdownToIncrease = 1.25;
constexpr double kSlowdownToDecrease = 1.5;
// Share of answers that take most of the time between the unloaded one and
// their class's target.
constexpr double kStrainToIncrease = 0.01;
constexpr double kStrainToDecrease = 0.05;
constexpr double kStrainedShare = 0.6;
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
    m_limit = aCostPerSecond * kFirstLimitShare * ToSeconds(m_tightest);
    m_rate = aCostPerSecond;
    m_windowStart = aNow;
  }
  m_configured = aCostPerSecond;
  Clamp();
}

void
CapacityEstimate::NoteTarget(Duration aCompletion)
{
  if (m_least > 0 || aCompletion >= m_tightest) {
    return;
  }
  m_tightest = aCompletion;
  m_limit = m_configured * kFirstLimitShare * ToSeconds(m_tightest);
  Clamp();
}

Duration
CapacityEstimate::ServiceTime(double aCost) const
{
  if (m_perCost == 0) {
    return m_tightest / 2;
  }
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
    m_meanCost = cost;
  }
  const double error = perCost - m_perCost;
  m_perCost += kAverageWeight * error;
  m_deviation += kAverageWeight * (std::abs(error) - m_deviation);
  m_meanCost += kAverageWeight * (cost - m_meanCost);
  ++m_finished;
  m_allowedLate += aWork.m_allowedLate;
  m_served += cost;
  m_seconds += ToSeconds(aWork.m_taken);
  NoteStrain(aWork, cost);
  const double window = ToSeconds(aNow - m_windowStart);
  const double least = std::max(kMinWindowSeconds, m_perCost * m_meanCost);
  if (m_finished >= kWindowRequests && window >= least) {
    EndWindow(aNow);
  }
}

void
CapacityEstimate::NoteStrain(const FinishedWork& aWork, double aCost)
{
  const double completion = ToSeconds(aWork.m_completion);
  const double unloaded = std::min(m_least * aCost, completion);
  const double most = unloaded + kStrainedShare * (completion - unloaded);
  if (ToSeconds(aWork.m_taken) <= most) {
    // If it is late all the same, it waited too long before it was started;
    // a lower limit would make that worse.
    return;
  }
  ++m_strained;
  m_late += aWork.m_inTime ? 0 : 1;
}

void
CapacityEstimate::EndWindow(TimePoint aNow)
{
  AdaptRate(ToSeconds(aNow - m_windowStart));
  AdaptLimit(aNow);
  Clamp();
  m_windowStart = aNow;
  m_finished = 0;
  m_late = 0;
  m_allowedLate = 0;
  m_served = 0;
  m_seconds = 0;
  m_strained = 0;
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
CapacityEstimate::LearnLeast()
{
  const double perCost = m_seconds / m_served;
  if (m_least == 0) {
    m_least = perCost;
  }
  // What an unloaded resource of this capacity holds at a time. At a limit
  // this low, and without saturation, the time seen is the unloaded one.
  const bool unloaded =
    !m_saturated || m_limit <= m_configured * m_least * m_meanCost;
  if (unloaded || perCost < m_least) {
    m_least += kAverageWeight * (perCost - m_least);
  }
}

void
CapacityEstimate::AdaptLimit(TimePoint aNow)
{
  LearnLeast();
  const double late = static_cast<double>(m_late) / m_finished;
  const double strained = static_cast<double>(m_strained) / m_finished;
  const double slowdown = m_perCost / m_least;
  if (aNow < m_holdUntil) {
    // What ends now was started under the limit before the last decrease.
    return;
  }
  if (late > m_allowedLate / m_finished / 2.0) {
    m_limit *= 1.0 - std::clamp(late, kLeastDecrease, kMostDecrease);
    HoldLimit(aNow);
    return;
  }
  if (slowdown > kSlowdownToDecrease || strained > kStrainToDecrease) {
    const double held = m_configured * m_least * m_meanCost;
    const double lower = m_limit * (1.0 - kLeastDecrease);
    m_limit = std::min(m_limit, std::max(lower, held));
    HoldLimit(aNow);
    return;
  }
  const bool roomy =
    slowdown <= kSlowdownToIncrease && strained <= kStrainToIncrease;
  if (m_saturated && roomy) {
    const double share = m_hasDecreased ? kIncreaseShare : kFirstIncreaseShare;
    m_limit += share * m_limit + m_meanCost;
  }
}

void
CapacityEstimate::HoldLimit(TimePoint aNow)
{
  m_hasDecreased = true;
  m_holdUntil =
    aNow + Duration(static_cast<std::int64_t>(m_perCost * m_meanCost * 1e9));
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
