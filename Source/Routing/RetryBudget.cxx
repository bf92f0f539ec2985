// Bounds retries and hedges to a share of the successful traffic.
#include "Routing/RetryBudget.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxBackoffDoublings = 6;

} // namespace

RetryBudget::RetryBudget(double aRatio, double aCapacity, std::uint64_t aSeed)
  : m_ratio(aRatio)
  , m_capacity(aCapacity)
  , m_tokens(aCapacity)
  , m_random(aSeed)
{
}

void
RetryBudget::RecordSuccess()
{
  m_tokens = std::min(m_capacity, m_tokens + m_ratio);
}

bool
RetryBudget::Spend()
{
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

RetryDecision
RetryBudget::Decide(TimePoint aNow, const RetryRequest& aRequest)
{
  if (!aRequest.m_idempotent && aRequest.m_mayHaveBeenSent) {
    return { RetryStatus::NotIdempotent, {} };
  }
  if (aRequest.m_attempts >= aRequest.m_maxAttempts) {
    return { RetryStatus::TooManyAttempts, {} };
  }
  // The first retry goes elsewhere at once; later ones wait with full jitter.
  Duration backoff{};
  if (aRequest.m_attempts > 1) {
    const std::uint32_t doublings =
      std::min(aRequest.m_attempts - 2, kMaxBackoffDoublings);
    const Duration ceiling = kFirstBackoff * (1U << doublings);
    backoff = Duration(static_cast<std::int64_t>(
      m_random.Fraction() * static_cast<double>(ceiling.count())));
  }
  if (aNow + backoff + aRequest.m_expected >= aRequest.m_deadline) {
    return { RetryStatus::WouldMissDeadline, {} };
  }
  if (!Spend()) {
    return { RetryStatus::BudgetExhausted, {} };
  }
  return { RetryStatus::Retry, backoff };
}

} // namespace parsleycove
