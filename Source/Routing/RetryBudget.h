// Bounds retries and hedges to a share of the successful traffic.
#pragma once

#include <cstdint>

#include "Base/Clock.h"
#include "Routing/Random.h"

namespace parsleycove {

enum class RetryStatus
{
  Retry,
  // A byte may have left and the call may not be repeated.
  NotIdempotent,
  BudgetExhausted,
  // The retry could not end before the deadline.
  WouldMissDeadline,
  TooManyAttempts,
};

struct RetryDecision
{
  RetryStatus m_status = RetryStatus::Retry;
  // How long to wait first.
  Duration m_backoff{};
};

// A failed call that might be tried again.
struct RetryRequest
{
  // Attempts made so far, at least 1.
  std::uint32_t m_attempts = 1;
  std::uint32_t m_maxAttempts = 4;
  bool m_idempotent = false;
  // True unless it is certain that no byte left for the endpoint.
  bool m_mayHaveBeenSent = true;
  // How long the call usually takes.
  Duration m_expected{};
  TimePoint m_deadline;
};

// A token bucket that successes fill; one per thread.
//
// Invariant: over any time, retries and hedges are at most the reserve plus
// the share of the successes in that time.
class RetryBudget
{
public:
  RetryBudget(double aRatio, double aCapacity, std::uint64_t aSeed);

  void RecordSuccess();
  // Decides on a retry and, when it is allowed, pays for it.
  RetryDecision Decide(TimePoint aNow, const RetryRequest& aRequest);
  // Pays for one extra call; false when the budget is spent.
  bool Spend();
  double Tokens() const { return m_tokens; }

private:
  const double m_ratio;
  const double m_capacity;
  double m_tokens;
  Random m_random;
};

} // namespace parsleycove
