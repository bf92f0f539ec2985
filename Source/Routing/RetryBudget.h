// Limits retries and hedges to a share of the successful traffic, so that a
// partial outage causes no retry storm.
#pragma once

#include <cstdint>

#include "Base/Clock.h"
#include "Routing/Random.h"

namespace parsleycove {

enum class RetryStatus
{
  Retry,
  // The endpoint may have received the call, and the call is not idempotent.
  NotIdempotent,
  BudgetExhausted,
  // The retry would not end before the deadline.
  WouldMissDeadline,
  TooManyAttempts,
};

struct RetryDecision
{
  RetryStatus m_status = RetryStatus::Retry;
  // Time to wait before the retry.
  Duration m_backoff{};
};

// A failed call that is considered for a retry.
struct RetryRequest
{
  // Attempts made so far, at least 1.
  std::uint32_t m_attempts = 1;
  std::uint32_t m_maxAttempts = 4;
  bool m_idempotent = false;
  // False only if it is certain that no byte was sent to the endpoint.
  bool m_mayHaveBeenSent = true;
  // Usual duration of the call.
  Duration m_expected{};
  TimePoint m_deadline;
};

// Token bucket that successful calls fill; one instance per thread.
//
// Invariant: in any period, the number of retries and hedges is at most the
// bucket's capacity plus the configured ratio of the successes in that period.
class RetryBudget
{
public:
  RetryBudget(double aRatio, double aCapacity, std::uint64_t aSeed);

  void RecordSuccess();
  // Decides on a retry. An allowed retry takes one token.
  RetryDecision Decide(TimePoint aNow, const RetryRequest& aRequest);
  // Takes one token for an extra call. Returns false if the budget is
  // exhausted.
  bool Spend();
  double Tokens() const { return m_tokens; }

private:
  const double m_ratio;
  const double m_capacity;
  double m_tokens;
  Random m_random;
};

} // namespace parsleycove
