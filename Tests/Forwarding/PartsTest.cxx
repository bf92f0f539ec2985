// Tests of the parts of Forwarding that need no connections.
#include "Base/Clock.h"
#include "Forwarding/EventSplitter.h"
#include "Forwarding/FailureReportDecision.h"
#include "Forwarding/ForwardedRequest.h"
#include "Forwarding/RetryAfter.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const std::string kEvents =
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nd: c\n\n";

} // namespace

TEST_GROUP(EventSplitter){};

TEST(EventSplitter, FindsWholeEventsWhereverTheBytesAreCut)
{
  for (std::size_t cut = 0; cut <= kEvents.size(); ++cut) {
    EventSplitter splitter;
    std::string out;
    const std::size_t early =
      splitter.ExtractEvents(kEvents.substr(0, cut), out);
    const std::size_t late = splitter.ExtractEvents(kEvents.substr(cut), out);
    STRCMP_EQUAL(kEvents.c_str(), out.c_str());
    CHECK_EQUAL(3U, early + late);
    CHECK_EQUAL(3U, *splitter.LastId());
    CHECK_FALSE(splitter.HasPartialEvent());
  }
}

// Work that grows with the square of the event's length takes seconds here.
TEST(EventSplitter, ALongEventInSmallPiecesCostsEachPieceOnlyOnce)
{
  constexpr std::size_t kEventBytes = 512UL * 1024;
  const TimePoint before = BootClock::now();
  EventSplitter splitter;
  std::string out;
  while (splitter.PendingBytes() < kEventBytes) {
    CHECK_EQUAL(0U, splitter.ExtractEvents("data: x\n", out));
  }
  CHECK(BootClock::now() - before < std::chrono::seconds(1));
  CHECK_EQUAL(1U, splitter.ExtractEvents("\n", out));
  CHECK_EQUAL(kEventBytes + 1, out.size());
}

// Work that grows with the square of the number of events takes minutes here.
TEST(EventSplitter, ManyEventsInOnePieceCostEachByteOnlyOnce)
{
  constexpr std::size_t kEventCount = 2UL * 1024 * 1024;
  EventSplitter splitter;
  std::string out;
  CHECK_EQUAL(kEventCount,
              splitter.ExtractEvents(std::string(2 * kEventCount, '\n'), out));
  CHECK_EQUAL(2 * kEventCount, out.size());
}

TEST(EventSplitter, FindsTheFirstOfBothKindsOfEnds)
{
  for (const std::string event : { "a\r\n\r\n", "a\n\n", "a\r\n\n" }) {
    for (const std::string rest : { "b\n\n", "\r\n\r\n", "\n\r\n\r\n" }) {
      EventSplitter splitter;
      std::string out;
      CHECK_EQUAL(2U, splitter.ExtractEvents(event + rest, out));
      STRCMP_EQUAL((event + rest).c_str(), out.c_str());
    }
  }
}

TEST(EventSplitter, FindsTheEndsOfEventsThatArriveByteByByte)
{
  for (const std::string end : { "\n\n", "\r\n\r\n" }) {
    std::string events = "id: 1\ndata: a";
    events.append(end).append("id: 2\ndata: b").append(end);
    EventSplitter splitter;
    std::string out;
    for (const char byte : events) {
      splitter.ExtractEvents(std::string_view(&byte, 1), out);
    }
    STRCMP_EQUAL(events.c_str(), out.c_str());
    splitter.ExtractEvents("id: 3", out);
    splitter.RestorePartialEvent(splitter.TakePartialEvent());
    CHECK_EQUAL(1U, splitter.ExtractEvents(end, out));
    splitter.ExtractEvents("id: 4", out);
    splitter.DiscardPartialEvent();
    CHECK_EQUAL(1U, splitter.ExtractEvents("id: 4\n\n", out));
  }
}

TEST(EventSplitter, LeavesOutWhatWasDelivered)
{
  EventSplitter splitter(2);
  std::string out;
  CHECK_EQUAL(1U, splitter.ExtractEvents(kEvents, out));
  STRCMP_EQUAL("id: 3\nd: c\n\n", out.c_str());
}

// Ids increase by any number; an id that does not increase is passed over.
TEST(EventSplitter, RelaysGapsWholeAndInOrder)
{
  const std::string events = "id: 2\n\nid: 4\n\nid: 9\n\nid: 10\n\n";
  for (std::size_t cut = 0; cut <= events.size(); ++cut) {
    EventSplitter splitter;
    std::string out;
    const std::size_t early =
      splitter.ExtractEvents(events.substr(0, cut), out);
    CHECK_EQUAL(4U, early + splitter.ExtractEvents(events.substr(cut), out));
    STRCMP_EQUAL(events.c_str(), out.c_str());
    CHECK_EQUAL(10U, *splitter.LastId());
    CHECK_FALSE(splitter.HasPartialEvent());
  }
}

TEST(EventSplitter, DeliversNothingTwiceOrOutOfOrder)
{
  EventSplitter splitter;
  std::string out;
  CHECK_EQUAL(3U,
              splitter.ExtractEvents(
                "id: 2\n\nid: 6\n\nid: 4\n\nid: 6\n\nid: 7\n\n", out));
  STRCMP_EQUAL("id: 2\n\nid: 6\n\nid: 7\n\n", out.c_str());
}

TEST(EventSplitter, GoesOnBehindTheLastIdAcrossAGap)
{
  EventSplitter splitter;
  std::string out;
  splitter.ExtractEvents("id: 2\n\nid: 4\n\nid: 6\nda", out);
  CHECK_EQUAL(4U, *splitter.LastId());
  splitter.DiscardPartialEvent();
  // The resumed attempt sends an event again that was delivered.
  CHECK_EQUAL(2U, splitter.ExtractEvents("id: 4\n\nid: 6\n\nid: 8\n\n", out));
  STRCMP_EQUAL("id: 2\n\nid: 4\n\nid: 6\n\nid: 8\n\n", out.c_str());
}

TEST(EventSplitter, ForgetsThePartOfABrokenRun)
{
  EventSplitter splitter;
  std::string out;
  splitter.ExtractEvents("id: 1\n\nid: 2\nda", out);
  CHECK(splitter.HasPartialEvent());
  splitter.DiscardPartialEvent();
  splitter.ExtractEvents("id: 2\nx: y\n\n", out);
  STRCMP_EQUAL("id: 1\n\nid: 2\nx: y\n\n", out.c_str());
}

// clang-format off
TEST_GROUP(RetryAfter)
{
  static constexpr Duration kLeft = std::chrono::seconds(20);
  static constexpr TimePoint kNow{ std::chrono::seconds(1000) };
  ReturnSchedule m_schedule;

  Duration Choose(const RefusedCaller& aCaller)
  {
    return ChooseRetryAfter(kNow, aCaller, m_schedule);
  }
};
// clang-format on

TEST(RetryAfter, SpreadsCallersOverTheExpectedWait)
{
  const Duration first = Choose({ RefusalCause::PathsFull, kLeft, {}, 0 });
  const Duration last = Choose({ RefusalCause::PathsFull, kLeft, {}, 0.999 });
  CHECK(first > Duration::zero());
  CHECK(last > first + first / 2);
}

TEST(RetryAfter, LeavesTimeToBeServed)
{
  for (const auto cause : { RefusalCause::NoPath, RefusalCause::PathsFull }) {
    const Duration left = std::chrono::milliseconds(400);
    CHECK(Choose({ cause, left, {}, 0.9 }) <= left / 3);
  }
  CHECK(Choose({ RefusalCause::NoPath, -std::chrono::seconds(1), {}, 0 }) >
        Duration::zero());
}

TEST(RetryAfter, NoCallerReturnsWithinAPause)
{
  const Duration pause = std::chrono::seconds(9);
  for (const double draw : { 0.0, 0.5, 0.999 }) {
    CHECK(Choose({ RefusalCause::EndpointsPaused, kLeft, pause, draw }) >=
          pause);
  }
}

TEST(RetryAfter, CallersWhoWaitForAPlaceTakeTurns)
{
  for (int i = 0; i < 20; ++i) {
    m_schedule.RecordFreed(kNow);
  }
  Duration last{};
  for (int i = 0; i < 20; ++i) {
    last = Choose({ RefusalCause::PathsFull, kLeft, {}, 0.5 });
  }
  // 20 places in the last 2 s, and nobody new: ten callers a second return.
  CHECK(last > std::chrono::milliseconds(1500));
  // Another VM serves these at once.
  CHECK(Choose({ RefusalCause::Stopping, kLeft, {}, 0.5 }) <
        std::chrono::milliseconds(50));
}

TEST(RetryAfter, IsWrittenInSeconds)
{
  STRCMP_EQUAL("0.250", FormatSeconds(std::chrono::milliseconds(250)).c_str());
}

// clang-format off
TEST_GROUP(FailureReportDecision)
{
  static constexpr Duration kStallThreshold = std::chrono::milliseconds(60);

  static FailureReportDecision Evaluate(int aSilentMs, bool aHasStreams)
  {
    return EvaluateFailureReport(
      { std::chrono::milliseconds(aSilentMs), aHasStreams, kStallThreshold });
  }
};
// clang-format on

TEST(FailureReportDecision, AnEngineWhoseStreamsStandStillIsDead)
{
  CHECK(Evaluate(61, true) == FailureReportDecision::Accept);
}

// Failure: a gateway that is cut off from an engine reports the engine as
// failed. The other gateways still receive events from the engine and must not
// leave it.
TEST(FailureReportDecision, AnEngineWhoseStreamsMoveIsNot)
{
  CHECK(Evaluate(60, true) == FailureReportDecision::Ignore);
  CHECK(Evaluate(0, true) == FailureReportDecision::Ignore);
}

// Failure: a gateway that reaches no engine at all reports all of them. The
// other gateways have heard nothing lately of those that they do not use.
TEST(FailureReportDecision, AnEngineWithoutStreamsIsAsked)
{
  CHECK(Evaluate(0, false) == FailureReportDecision::Probe);
  CHECK(Evaluate(400, false) == FailureReportDecision::Probe);
  CHECK(Evaluate(60'000, false) == FailureReportDecision::Probe);
}
