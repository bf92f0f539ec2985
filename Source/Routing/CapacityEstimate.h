// Estimates how much work a resource carries while its targets are met.
#pragma once

#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// A finished request, as the estimate learns from it.
struct FinishedWork
{
  double m_cost = 0;
  Duration m_taken{};
  // The class's target for the whole answer.
  Duration m_completion{};
  bool m_inTime = true;
  // Share of late answers that the class's target allows.
  double m_allowedLate = 0.05;
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
  void NoteTarget(Duration aCompletion);
  bool IsConfigured() const { return m_configured > 0; }

  // Cost that may be outstanding at once.
  double Limit() const { return m_limit; }
  // Cost served in a second.
  double Rate() const { return m_rate; }
  // Time that a request of this cost takes with little chance of more.
  Duration ServiceTime(double aCost) const;

  // Tells that work had to wait because of the limit.
  void NoteSaturated() { m_saturated = true; }
  void NoteFinished(TimePoint aNow, const FinishedWork& aWork);

private:
  void EndWindow(TimePoint aNow);
  void LearnLeast();
  void AdaptLimit(TimePoint aNow);
  void HoldLimit(TimePoint aNow);
  void NoteStrain(const FinishedWork& aWork, double aCost);
  void AdaptRate(double aSeconds);
  void Clamp();

  double m_configured = 0;
  double m_limit = 0;
  double m_rate = 0;
  // Seconds for each unit of cost: mean, mean deviation, and the mean of an
  // unloaded resource.
  double m_perCost = 0;
  double m_deviation = 0;
  double m_least = 0;
  double m_meanCost = 1;
  Duration m_tightest = std::chrono::seconds(10);
  // The limit was found too high at least once.
  bool m_hasDecreased = false;
  // No further change of the limit before work that was started under it ends.
  TimePoint m_holdUntil;

  // The present window.
  TimePoint m_windowStart;
  std::uint32_t m_finished = 0;
  std::uint32_t m_late = 0;
  double m_allowedLate = 0;
  double m_served = 0;
  double m_seconds = 0;
  std::uint32_t m_strained = 0;
  bool m_saturated = false;
};

} // namespace parsleycove
