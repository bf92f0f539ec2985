// Estimates how much work a resource carries while its targets are met.
#pragma once

#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// A finished request, as the estimate learns from it.
struct FinishedWork
{
  double m_cost = 0;
  double m_tokens = 0;
  Duration m_taken{};
  bool m_inTime = true;
  // Share of late answers that the class's target allows.
  double m_allowedLate = 0.05;
};

// Bounds the outstanding cost: additive increase while the bound is reached
// and answers are in time and not slower than twice the fastest seen,
// multiplicative decrease when more are late than the target allows.
class CapacityEstimate
{
public:
  // Sets the capacity that follows from the runners' rates.
  void Configure(TimePoint aNow, double aCostPerSecond);
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
  void AdaptLimit();
  void AdaptRate(double aSeconds);
  void Clamp();

  double m_configured = 0;
  double m_limit = 0;
  double m_rate = 0;
  // Seconds for each unit of cost: mean, mean deviation, least.
  double m_perCost = 0;
  double m_deviation = 0;
  double m_least = 0;
  double m_meanCost = 1;

  // The present window.
  TimePoint m_windowStart;
  std::uint32_t m_finished = 0;
  std::uint32_t m_late = 0;
  double m_allowedLate = 0;
  double m_served = 0;
  bool m_saturated = false;
};

} // namespace parsleycove
