// Estimates how much work a resource carries while its targets are met.
#include "Routing/CapacityEstimate.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

// Before anything was measured, work may take this share of its target.
constexpr double kInitialLimitShare = 0.25;
constexpr double kMaxLimitSeconds = 30.0;
constexpr double kMovingAverageWeight = 0.1;
constexpr double kServiceTimeDeviations = 2.0;
constexpr double kIncreaseShare = 0.05;
// Until the limit was first found too high.
constexpr double kInitialIncreaseShare = 0.5;
constexpr double kMinDecreaseShare = 0.1;
constexpr double kMaxDecreaseShare = 0.5;
constexpr double kMaxSlowdownToIncrease = 1.25;
constexpr double kMinSlowdownToDecrease = 1.5;
// Share of answers that take most of the time between the unloaded one and
// their class's target.
constexpr double kMaxSlowShareToIncrease = 0.01;
constexpr double kMinSlowShareToDecrease = 0.05;
constexpr double kSlowThresholdShare = 0.6;
constexpr double kRateAverageWeight = 0.3;
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
  if (aCostPerSecond == m_configuredRate) {
    return;
  }
  if (m_configuredRate > 0 && aCostPerSecond > 0) {
    const double change = aCostPerSecond / m_configuredRate;
    m_limit *= change;
    m_rate *= change;
  } else {
    m_limit = aCostPerSecond * kInitialLimitShare * ToSeconds(m_tightestTarget);
    m_rate = aCostPerSecond;
    m_windowStart = aNow;
  }
  m_configuredRate = aCostPerSecond;
  Clamp();
}

void
CapacityEstimate::UpdateTightestTarget(Duration aCompletion)
{
  if (m_unloadedSecondsPerCost > 0 || aCompletion >= m_tightestTarget) {
    return;
  }
  m_tightestTarget = aCompletion;
  m_limit = m_configuredRate * kInitialLimitShare * ToSeconds(m_tightestTarget);
  Clamp();
}

Duration
CapacityEstimate::ServiceTime(double aCost) const
{
  if (m_secondsPerCost == 0) {
    return m_tightestTarget / 2;
  }
  const double seconds =
    aCost *
    (m_secondsPerCost + kServiceTimeDeviations * m_secondsPerCostDeviation);
  return Duration(static_cast<std::int64_t>(seconds * 1e9));
}

void
CapacityEstimate::RecordFinished(TimePoint aNow, const FinishedWork& aWork)
{
  const double cost = std::max(aWork.m_cost, 1e-9);
  const double perCost = ToSeconds(aWork.m_serviceTime) / cost;
  if (m_secondsPerCost == 0) {
    m_secondsPerCost = perCost;
    m_meanCost = cost;
  }
  const double error = perCost - m_secondsPerCost;
  m_secondsPerCost += kMovingAverageWeight * error;
  m_secondsPerCostDeviation +=
    kMovingAverageWeight * (std::abs(error) - m_secondsPerCostDeviation);
  m_meanCost += kMovingAverageWeight * (cost - m_meanCost);
  ++m_finishedCount;
  m_allowedLateShare += aWork.m_allowedLateShare;
  m_servedCost += cost;
  m_serviceSeconds += ToSeconds(aWork.m_serviceTime);
  CountSlowWork(aWork, cost);
  const double window = ToSeconds(aNow - m_windowStart);
  const double least =
    std::max(kMinWindowSeconds, m_secondsPerCost * m_meanCost);
  if (m_finishedCount >= kWindowRequests && window >= least) {
    EndWindow(aNow);
  }
}

void
CapacityEstimate::CountSlowWork(const FinishedWork& aWork, double aCost)
{
  const double completion = ToSeconds(aWork.m_completion);
  const double unloaded =
    std::min(m_unloadedSecondsPerCost * aCost, completion);
  const double most = unloaded + kSlowThresholdShare * (completion - unloaded);
  if (ToSeconds(aWork.m_serviceTime) <= most) {
    // If it is late all the same, it waited too long before it was started;
    // a lower limit would make that worse.
    return;
  }
  ++m_slowCount;
  m_lateCount += aWork.m_inTime ? 0 : 1;
}

void
CapacityEstimate::EndWindow(TimePoint aNow)
{
  AdaptRate(ToSeconds(aNow - m_windowStart));
  AdaptLimit(aNow);
  Clamp();
  m_windowStart = aNow;
  m_finishedCount = 0;
  m_lateCount = 0;
  m_allowedLateShare = 0;
  m_servedCost = 0;
  m_serviceSeconds = 0;
  m_slowCount = 0;
  m_saturated = false;
}

void
CapacityEstimate::AdaptRate(double aSeconds)
{
  const double measured = m_servedCost / aSeconds;
  // Without saturation the demand was measured, not the capacity.
  if (m_saturated || measured > m_rate) {
    m_rate += kRateAverageWeight * (measured - m_rate);
  }
}

void
CapacityEstimate::UpdateUnloadedServiceTime()
{
  const double perCost = m_serviceSeconds / m_servedCost;
  if (m_unloadedSecondsPerCost == 0) {
    m_unloadedSecondsPerCost = perCost;
  }
  // What an unloaded resource of this capacity holds at a time. At a limit
  // this low, and without saturation, the time seen is the unloaded one.
  const bool unloaded =
    !m_saturated ||
    m_limit <= m_configuredRate * m_unloadedSecondsPerCost * m_meanCost;
  if (unloaded || perCost < m_unloadedSecondsPerCost) {
    m_unloadedSecondsPerCost +=
      kMovingAverageWeight * (perCost - m_unloadedSecondsPerCost);
  }
}

void
CapacityEstimate::AdaptLimit(TimePoint aNow)
{
  UpdateUnloadedServiceTime();
  const double late = static_cast<double>(m_lateCount) / m_finishedCount;
  const double strained = static_cast<double>(m_slowCount) / m_finishedCount;
  const double slowdown = m_secondsPerCost / m_unloadedSecondsPerCost;
  if (aNow < m_cooldownUntil) {
    // What ends now was started under the limit before the last decrease.
    return;
  }
  if (late > m_allowedLateShare / m_finishedCount / 2.0) {
    m_limit *= 1.0 - std::clamp(late, kMinDecreaseShare, kMaxDecreaseShare);
    StartCooldown(aNow);
    return;
  }
  if (slowdown > kMinSlowdownToDecrease || strained > kMinSlowShareToDecrease) {
    const double held =
      m_configuredRate * m_unloadedSecondsPerCost * m_meanCost;
    const double lower = m_limit * (1.0 - kMinDecreaseShare);
    m_limit = std::min(m_limit, std::max(lower, held));
    StartCooldown(aNow);
    return;
  }
  const bool roomy =
    slowdown <= kMaxSlowdownToIncrease && strained <= kMaxSlowShareToIncrease;
  if (m_saturated && roomy) {
    const double share =
      m_hasDecreased ? kIncreaseShare : kInitialIncreaseShare;
    m_limit += share * m_limit + m_meanCost;
  }
}

void
CapacityEstimate::StartCooldown(TimePoint aNow)
{
  m_hasDecreased = true;
  m_cooldownUntil =
    aNow +
    Duration(static_cast<std::int64_t>(m_secondsPerCost * m_meanCost * 1e9));
}

void
CapacityEstimate::Clamp()
{
  m_limit =
    std::clamp(m_limit,
               m_meanCost,
               std::max(m_meanCost, m_configuredRate * kMaxLimitSeconds));
  m_rate = std::clamp(
    m_rate, m_configuredRate * kMinRateShare, m_configuredRate * kMaxRateShare);
}

} // namespace parsleycove
