// Tests of retries and hedges: what may be repeated, and how much of it.
#include "Routing/RetryBudget.h"

#include "Routing/HedgePolicy.h"
#include "Routing/TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(RetryBudget)
{
  void setup() override
  {
    m_request.m_idempotent = true;
    m_request.m_expected = std::chrono::milliseconds(10);
    m_request.m_deadline = kTestStart + std::chrono::seconds(1);
  }

  RetryRequest m_request;
};

TEST(RetryBudget, NeverRepeatsWhatMayHaveLeftAndIsNotIdempotent)
{
  RetryBudget budget(0.1, 10, 1);
  m_request.m_idempotent = false;
  CHECK(budget.Decide(kTestStart, m_request).m_status ==
        RetryStatus::NotIdempotent);
  m_request.m_mayHaveBeenSent = false;
  CHECK(budget.Decide(kTestStart, m_request).m_status == RetryStatus::Retry);
}

TEST(RetryBudget, NoRetryThatEndsAfterTheDeadline)
{
  RetryBudget budget(0.1, 10, 1);
  m_request.m_deadline = kTestStart + std::chrono::milliseconds(10);
  CHECK(budget.Decide(kTestStart, m_request).m_status ==
        RetryStatus::WouldMissDeadline);
  DOUBLES_EQUAL(10, budget.Tokens(), 0);
}

TEST(RetryBudget, AttemptsAreBounded)
{
  RetryBudget budget(0.1, 10, 1);
  m_request.m_attempts = m_request.m_maxAttempts;
  CHECK(budget.Decide(kTestStart, m_request).m_status ==
        RetryStatus::TooManyAttempts);
}

TEST(RetryBudget, BackoffGrowsAndIsJittered)
{
  RetryBudget budget(0.1, 1000, 1);
  m_request.m_maxAttempts = 100;
  CHECK(budget.Decide(kTestStart, m_request).m_backoff == Duration::zero());
  Duration longest{};
  Duration previous{};
  int equal = 0;
  m_request.m_attempts = 6;
  for (int i = 0; i < 100; ++i) {
    const Duration backoff = budget.Decide(kTestStart, m_request).m_backoff;
    equal += backoff == previous ? 1 : 0;
    previous = backoff;
    longest = std::max(longest, backoff);
  }
  CHECK_EQUAL(0, equal);
  CHECK(longest > std::chrono::milliseconds(100));
  CHECK(longest <= std::chrono::milliseconds(160));
}

TEST(RetryBudget, LossOfAZoneCausesNoRetryStorm)
{
  // A third of all calls fails, and each failure asks for up to 3 retries
  // that fail with the same chance.
  constexpr double kRatio = 0.1;
  constexpr double kCapacity = 20;
  constexpr int kCalls = 10000;
  RetryBudget budget(kRatio, kCapacity, 1);
  Random random(2);
  int sent = 0;
  int successes = 0;
  for (int call = 0; call < kCalls; ++call) {
    for (std::uint32_t attempt = 1;; ++attempt) {
      ++sent;
      if (random.Below(3) > 0) {
        budget.RecordSuccess();
        ++successes;
        break;
      }
      m_request.m_attempts = attempt;
      if (budget.Decide(kTestStart, m_request).m_status != RetryStatus::Retry) {
        break;
      }
    }
  }
  CHECK(sent - kCalls <= kRatio * successes + kCapacity);
  CHECK(sent - kCalls > kCapacity);
}

TEST(RetryBudget, QuietTimesDoNotSaveUpForAStorm)
{
  RetryBudget budget(0.1, 20, 1);
  for (int i = 0; i < 100000; ++i) {
    budget.RecordSuccess();
  }
  int retries = 0;
  while (budget.Decide(kTestStart, m_request).m_status == RetryStatus::Retry) {
    ++retries;
  }
  CHECK_EQUAL(20, retries);
}

TEST_GROUP(HedgePolicy)
{
  void setup() override
  {
    for (int i = 0; i < 200; ++i) {
      const int milliseconds = i % 20 == 0 ? 100 : 5;
      m_policy.RecordAnswer(std::chrono::milliseconds(milliseconds));
    }
  }

  RetryBudget m_budget{ 0.1, 2, 1 };
  HedgePolicy m_policy{ m_budget };
  TimePoint m_deadline = kTestStart + std::chrono::seconds(1);
};

TEST(HedgePolicy, HedgesIdempotentCallsAfterThe95thPercentile)
{
  const auto due = m_policy.HedgeTime(kTestStart, true, m_deadline);
  CHECK(due.has_value());
  CHECK(*due >= kTestStart + std::chrono::milliseconds(5));
  CHECK(*due <= kTestStart + std::chrono::milliseconds(7));
  CHECK_FALSE(m_policy.HedgeTime(kTestStart, false, m_deadline).has_value());
}

TEST(HedgePolicy, NoHedgeWithoutSamplesTimeOrBudget)
{
  HedgePolicy fresh(m_budget);
  CHECK_FALSE(fresh.HedgeTime(kTestStart, true, m_deadline).has_value());
  const TimePoint soon = kTestStart + std::chrono::milliseconds(2);
  CHECK_FALSE(m_policy.HedgeTime(kTestStart, true, soon).has_value());
  CHECK(m_policy.Spend());
  CHECK(m_policy.Spend());
  CHECK_FALSE(m_policy.Spend());
}
