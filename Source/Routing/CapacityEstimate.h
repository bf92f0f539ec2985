// Estimates how much work a resource carries while its targets are met.
#pragma once

#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// A finished request, as the estimate learns from it.
struct FinishedWork
{
  double m_cost = 0;
  Duration m_serviceTime{};
  // The class's target for the whole answer.
  Duration m_completion{};
  bool m_inTime = true;
  // Share of late answers that the class's target allows.
  double m_allowedLateShare = 0.05;
};

// Bounds the outstanding cost. The bound grows by a step while it is reached
// and work takes little longer than on an unloaded resource, shrinks slowly
// once work takes twice as long or most of its class's time, and shrinks at
// once by the share of late answers when more are late than targets allow.
class CapacityEstimate
{
public:
  // Sets the capacity that follows from the runners' rates.
  void Configure(TimePoint aNow, double aCostPerSecond);
  // Tells a class's target; the tightest sets the limit to begin with.
  void UpdateTightestTarget(Duration aCompletion);
  bool IsConfigured() const { return m_configuredRate > 0; }

  // Cost that may be outstanding at once.
  double Limit() const { return m_limit; }
  // Cost served in a second.
  double Rate() const { return m_rate; }
  // Time that a request of this cost takes with little chance of more.
  Duration ServiceTime(double aCost) const;

  // Tells that work had to wait because of the limit.
  void MarkSaturated() { m_saturated = true; }
  void RecordFinished(TimePoint aNow, const FinishedWork& aWork);

private:
  void EndWindow(TimePoint aNow);
  void UpdateUnloadedServiceTime();
  void AdaptLimit(TimePoint aNow);
  void StartCooldown(TimePoint aNow);
  void CountSlowWork(const FinishedWork& aWork, double aCost);
  void AdaptRate(double aSeconds);
  void Clamp();

  double m_configuredRate = 0;
  double m_limit = 0;
  double m_rate = 0;
  // Seconds for each unit of cost: mean, mean deviation, and the mean of an
  // unloaded resource.
  double m_secondsPerCost = 0;
  double m_secondsPerCostDeviation = 0;
  double m_unloadedSecondsPerCost = 0;
  double m_meanCost = 1;
  Duration m_tightestTarget = std::chrono::seconds(10);
  // The limit was found too high at least once.
  bool m_hasDecreased = false;
  // No further change of the limit before work that was started under it ends.
  TimePoint m_cooldownUntil;

  // The present window.
  TimePoint m_windowStart;
  std::uint32_t m_finishedCount = 0;
  std::uint32_t m_lateCount = 0;
  double m_allowedLateShare = 0;
  double m_servedCost = 0;
  double m_serviceSeconds = 0;
  std::uint32_t m_slowCount = 0;
  bool m_saturated = false;
};

} // namespace parsleycove
