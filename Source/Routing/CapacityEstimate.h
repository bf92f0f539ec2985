// Estimates how much work a resource can carry while the targets of its classes
// are met.
#pragma once

#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// A finished request, from which the estimate learns.
struct FinishedWork
{
  double m_cost = 0;
  Duration m_serviceTime{};
  // The class's target for the time to the complete answer.
  Duration m_completion{};
  bool m_inTime = true;
  // Share of late answers that the class's success target allows.
  double m_allowedLateShare = 0.05;
};

// Limits the outstanding cost of a resource. The limit grows by a step while
// requests have to wait for it and service takes little longer than on an
// unloaded resource. It shrinks by a small step once the service time is 1.5
// times the unloaded one, or once too many requests use most of their class's
// completion time. It shrinks at once by the share of late answers when that
// share exceeds half of what the targets allow.
class CapacityEstimate
{
public:
  // Sets the capacity that follows from the runners' rates, in cost per second.
  void Configure(TimePoint aNow, double aCostPerSecond);
  // Takes account of a class's completion target. The tightest target sets the
  // limit until the first measurement.
  void UpdateTightestTarget(Duration aCompletion);
  bool IsConfigured() const { return m_configuredRate > 0; }

  // Cost that may be outstanding at once.
  double Limit() const { return m_limit; }
  // Cost served per second.
  double Rate() const { return m_rate; }
  // Returns a service time that a request of cost aCost is unlikely to exceed.
  Duration ServiceTime(double aCost) const;

  // Records that a request had to wait because of the limit.
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
  // Service time in seconds per unit of cost: mean, mean deviation, and mean on
  // an unloaded resource.
  double m_secondsPerCost = 0;
  double m_secondsPerCostDeviation = 0;
  double m_unloadedSecondsPerCost = 0;
  double m_meanCost = 1;
  Duration m_tightestTarget = std::chrono::seconds(10);
  // True once the limit was found too high.
  bool m_hasDecreased = false;
  // The limit stays unchanged until this time, when the requests started under
  // the previous limit have ended.
  TimePoint m_cooldownUntil;

  // Counts and sums of the current measuring window.
  TimePoint m_windowStart;
  std::uint32_t m_finishedCount = 0;
  std::uint32_t m_lateCount = 0;
  double m_allowedLateSum = 0;
  double m_servedCost = 0;
  double m_serviceSeconds = 0;
  std::uint32_t m_slowCount = 0;
  bool m_saturated = false;
};

} // namespace parsleycove
