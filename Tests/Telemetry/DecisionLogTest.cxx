// Tests of the decision log: its lines, and its bounds.
#include "Telemetry/DecisionLog.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "Support/MemorySink.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(DecisionLog)
{
  MemorySink m_sink;
  DecisionLog m_log{ "vm-1", m_sink, { 0, 10 } };

  void Write(DecisionEvent aEvent, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      m_log.Write(aEvent, [](DecisionLine&) {});
    }
  }
};
// clang-format on

TEST(DecisionLog, EveryLineIsOneJsonObject)
{
  m_log.Write(DecisionEvent::RequestRefused, [](DecisionLine& aLine) {
    aLine.Add("id", "a \"quoted\"\n\\ id")
      .Add("attempts", 2)
      .AddMs("left_ms", std::chrono::microseconds(1999));
  });
  CHECK_EQUAL(1U, m_sink.Lines().size());
  const auto line = boost::json::parse(m_sink.Lines()[0]).as_object();
  CHECK(line.at("event").as_string() == "request_refused");
  CHECK(line.at("vm").as_string() == "vm-1");
  CHECK(line.at("id").as_string() == "a \"quoted\"\n\\ id");
  CHECK_EQUAL(2, line.at("attempts").as_int64());
  CHECK_EQUAL(1, line.at("left_ms").as_int64());
  CHECK(line.at("unix_ms").as_int64() > 0);
}

TEST(DecisionLog, EveryEventHasANameOfItsOwn)
{
  std::set<std::string_view> names;
  for (const auto& row : kDecisionEventNames) {
    names.insert(row.m_name);
  }
  CHECK_EQUAL(kDecisionEventNames.size(), names.size());
}

TEST(DecisionLog, OrdinaryLinesStopFirst)
{
  Write(DecisionEvent::RequestAnswered, 100);
  CHECK_EQUAL(6U, m_sink.Lines().size());
  Write(DecisionEvent::RequestFailed, 3);
  // And a line that tells how many are missing.
  CHECK_EQUAL(10U, m_sink.Lines().size());
  CHECK_EQUAL(94U, m_log.Dropped());
}

TEST(DecisionLog, EssentialLinesAreBoundedToo)
{
  Write(DecisionEvent::RequestFailed, 1000);
  CHECK_EQUAL(10U, m_sink.Lines().size());
  CHECK_EQUAL(990U, m_log.Dropped());
}

TEST(DecisionLog, AGapIsToldInTheLogItself)
{
  MemorySink sink;
  DecisionLog log("vm-1", sink, { 200, 8 });
  for (int i = 0; i < 100; ++i) {
    log.Write(DecisionEvent::RequestFailed, [](DecisionLine&) {});
  }
  CHECK(log.Dropped() > 0);
  // There is room again within a few milliseconds; the lines are counted.
  const TimePoint deadline = BootClock::now() + std::chrono::seconds(20);
  auto hasGap = [&] { return sink.Has({ "\"lines_dropped\",\"count\":" }); };
  while (!hasGap() && BootClock::now() < deadline) {
    log.Write(DecisionEvent::RequestAnswered, [](DecisionLine&) {});
  }
  CHECK(hasGap());
}
