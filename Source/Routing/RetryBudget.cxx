// Bounds retries and hedges to a share of the successful traffic.
#include "Routing/RetryBudget.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxBackoffDoublings = 6;

} // namespace

RetryBudget::RetryBudget(double aShare, double aReserve, std::uint64_t aSeed)
  : m_share(aShare)
  , m_reserve(aReserve)
  , m_tokens(aReserve)
  , m_random(aSeed)
{
}

void
RetryBudget::RecordSuccess()
{
  m_tokens = std::min(m_reserve, m_tokens + m_share);
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
RetryBudget::Decide(TimePoint aNow, const RetryQuestion& aQuestion)
{
  if (!aQuestion.m_idempotent && aQuestion.m_byteMayHaveLeft) {
    return { RetryVerdict::NotIdempotent, {} };
  }
  if (aQuestion.m_attempts >= aQuestion.m_maxAttempts) {
    return { RetryVerdict::TooManyAttempts, {} };
  }
  // The first retry goes elsewhere at once; later ones wait with full jitter.
  Duration backoff{};
  if (aQuestion.m_attempts > 1) {
    const std::uint32_t doublings =
      std::min(aQuestion.m_attempts - 2, kMaxBackoffDoublings);
    const Duration ceiling = kFirstBackoff * (1U << doublings);
    backoff = Duration(static_cast<std::int64_t>(
      m_random.Fraction() * static_cast<double>(ceiling.count())));
  }
  if (aNow + backoff + aQuestion.m_expected >= aQuestion.m_deadline) {
    return { RetryVerdict::TooLate, {} };
  }
  if (!Spend()) {
    return { RetryVerdict::BudgetSpent, {} };
  }
  return { RetryVerdict::Retry, backoff };
}

} // namespace parsleycove
