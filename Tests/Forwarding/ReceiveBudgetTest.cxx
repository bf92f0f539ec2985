// Tests of the memory limit for requests that are being read.
#include "Forwarding/ReceiveBudget.h"

#include <deque>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

class TestReader final : public ReceiveBudget::Reader
{
public:
  using Reader::Reader;
  void OnRefused() override { ++m_refusals; }

  int m_refusals = 0;
};

constexpr std::size_t kLimit = 1000;

} // namespace

TEST_GROUP(ReceiveBudget)
{
  std::shared_ptr<ReceiveBudget> m_budget =
    std::make_shared<ReceiveBudget>(kLimit);
  TimePoint m_now{ std::chrono::seconds(100) };
};

TEST(ReceiveBudget, ASingleRequestIsReadWhateverItsSize)
{
  TestReader single(m_budget);
  for (std::size_t bytes = 1; bytes <= 10 * kLimit; bytes *= 2) {
    CHECK_TRUE(m_budget->Hold(single, bytes, m_now));
  }
}

TEST(ReceiveBudget, KeepsAllReadersBelowTheLimitAndOneRequest)
{
  std::deque<TestReader> readers;
  for (int i = 0; i < 100; ++i) {
    TestReader& reader = readers.emplace_back(m_budget);
    for (const std::size_t bytes : { 10, 50, 300 }) {
      if (!m_budget->Hold(reader, bytes, m_now)) {
        break;
      }
      CHECK_TRUE(m_budget->HeldBytes() <= kLimit + 300);
    }
  }
}

TEST(ReceiveBudget, RefusesTheSecondLargestAndNotASmallReader)
{
  TestReader largest(m_budget);
  TestReader second(m_budget);
  TestReader small(m_budget);
  CHECK_TRUE(m_budget->Hold(largest, 2000, m_now));
  CHECK_TRUE(m_budget->Hold(second, kLimit, m_now));
  CHECK_TRUE(m_budget->Hold(small, 1, m_now));
  CHECK_EQUAL(0, largest.m_refusals);
  CHECK_EQUAL(1, second.m_refusals);
  CHECK_EQUAL(0, small.m_refusals);
  CHECK_EQUAL(2001U, m_budget->HeldBytes());
}

TEST(ReceiveBudget, RefusesTheReaderThatStalledLongestFirst)
{
  TestReader stalled(m_budget);
  TestReader moving(m_budget);
  CHECK_TRUE(m_budget->Hold(stalled, 600, m_now));
  CHECK_TRUE(m_budget->Hold(moving, 700, m_now));
  m_now += std::chrono::seconds(2);
  CHECK_TRUE(m_budget->Hold(moving, 1100, m_now));
  CHECK_EQUAL(0, stalled.m_refusals);
  TestReader small(m_budget);
  CHECK_TRUE(m_budget->Hold(small, 401, m_now));
  CHECK_EQUAL(1, stalled.m_refusals);
  CHECK_EQUAL(0, moving.m_refusals);
}

TEST(ReceiveBudget, AReaderThatMayPauseIsNotRefusedForIt)
{
  const auto budget =
    std::make_shared<ReceiveBudget>(kLimit, ReceiveBudget::kNeverStalled);
  TestReader paused(budget);
  TestReader moving(budget);
  CHECK_TRUE(budget->Hold(paused, 600, m_now));
  CHECK_TRUE(budget->Hold(moving, 1100, m_now));
  m_now += std::chrono::hours(1);
  TestReader larger(budget);
  CHECK_FALSE(budget->Hold(larger, 1000, m_now));
  CHECK_EQUAL(0, paused.m_refusals);
  CHECK_EQUAL(0, moving.m_refusals);
}

TEST(ReceiveBudget, TellsAReaderThatIsRefusedItself)
{
  TestReader largest(m_budget);
  TestReader second(m_budget);
  CHECK_TRUE(m_budget->Hold(largest, 2000, m_now));
  CHECK_FALSE(m_budget->Hold(second, kLimit + 1, m_now));
  CHECK_EQUAL(1, second.m_refusals);
}

TEST(ReceiveBudget, AReaderThatEndsGivesItsBytesBack)
{
  {
    TestReader reader(m_budget);
    CHECK_TRUE(m_budget->Hold(reader, 500, m_now));
    CHECK_EQUAL(500U, m_budget->HeldBytes());
  }
  CHECK_EQUAL(0U, m_budget->HeldBytes());
}

TEST(ReceiveBudget, RequestsThatAreServedLeaveRoomForSmallOnesOnly)
{
  constexpr std::size_t kKiB = 1024;
  const auto budget = std::make_shared<ReceiveBudget>(64 * kKiB);
  {
    const ReceiveBudget::Served served(budget, 60 * kKiB);
    TestReader large(budget);
    TestReader small(budget);
    CHECK_FALSE(budget->Hold(large, 20 * kKiB, m_now));
    CHECK_EQUAL(1, large.m_refusals);
    CHECK_TRUE(budget->Hold(small, 16 * kKiB, m_now));
  }
  CHECK_EQUAL(0U, budget->ServedBytes());
  TestReader next(budget);
  CHECK_TRUE(budget->Hold(next, 20 * kKiB, m_now));
}
