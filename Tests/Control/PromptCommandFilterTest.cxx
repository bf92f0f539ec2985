// Tests which commands about prompt parts become log entries.
#include <optional>
#include <string>
#include <vector>

#include "Control/PromptCommandFilter.h"
#include "State/ConfigState.h"
#include "State/PromptCommands.h"
#include "State/PromptPartTable.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

constexpr int kGateways = 195;
constexpr std::uint64_t kStart = 1'000'000; // ms

} // namespace

// clang-format off
TEST_GROUP(PromptCommandFilter)
{
  PromptCommandFilter m_filter;
  ConfigState m_config;
  std::uint64_t m_index = 0;
  std::uint64_t m_ms = kStart;
  std::optional<state::CommandResultT> m_answer; // of the last command

  TimePoint Now() const { return TimePoint(std::chrono::milliseconds(m_ms)); }
  bool IsProposed(const state::CommandT& aCommand)
  {
    m_answer = m_filter.AnswerWithoutEntry(Now(), m_config.Image(), aCommand);
    return !m_answer;
  }
  void Apply(const state::CommandT& aCommand)
  {
    CHECK(m_config.Apply(++m_index, aCommand).code == ResultCode::Ok);
  }
  state::CommandT Report(int aEngine, const std::string& aPart = "bad")
  {
    const std::string number = std::to_string(aEngine);
    return MakePromptCrash("e" + number, 1, { { "a" + number, { aPart } } }, m_ms);
  }
  void Quarantine()
  {
    for (int engine = 0; engine < 3; ++engine) {
      Apply(Report(engine));
    }
  }
};
// clang-format on

// Load pattern: three engines crash, and all gateways report all of them before
// the first report is applied.
TEST(PromptCommandFilter, OneReportOfEachCrashPasses)
{
  int passed = 0;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    ++m_ms;
    for (int engine = 0; engine < 3; ++engine) {
      passed += IsProposed(Report(engine)) ? 1 : 0;
    }
  }
  CHECK_EQUAL(3, passed);
  CHECK(m_answer->code == ResultCode::Duplicate);
  CHECK_EQUAL(0, m_answer->index);
}

TEST(PromptCommandFilter, ReportsOfFurtherPartsPass)
{
  CHECK(IsProposed(Report(1)));
  CHECK(IsProposed(Report(1, "other")));
  CHECK_FALSE(IsProposed(Report(1, "other")));
}

TEST(PromptCommandFilter, AnAppliedReportIsNotProposedAgain)
{
  CHECK(IsProposed(Report(1)));
  Apply(Report(1));
  CHECK_FALSE(IsProposed(Report(1)));
  m_ms += 10'000;
  CHECK_FALSE(IsProposed(Report(1)));
}

TEST(PromptCommandFilter, AReportThatWasLostIsTakenAgain)
{
  CHECK(IsProposed(Report(1)));
  m_ms += 500;
  CHECK_FALSE(IsProposed(Report(1)));
  m_ms += 300;
  CHECK(IsProposed(Report(1)));
}

// Another command is applied between a report and its repetition.
TEST(PromptCommandFilter, AReportOnItsWayIsRememberedWhileTheLogMoves)
{
  CHECK(IsProposed(Report(1)));
  CHECK(IsProposed(Report(2)));
  Apply(Report(1));
  CHECK_FALSE(IsProposed(Report(2)));
  Apply(Report(2));
  CHECK_FALSE(IsProposed(Report(1)));
  CHECK_FALSE(IsProposed(Report(2)));
}

TEST(PromptCommandFilter, OneClearPasses)
{
  CHECK_FALSE(IsProposed(MakeClearParts({ "bad" }, m_ms)));
  CHECK(m_answer->code == ResultCode::NotFound);
  Quarantine();
  int passed = 0;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    passed += IsProposed(MakeClearParts({ "bad" }, ++m_ms)) ? 1 : 0;
  }
  CHECK_EQUAL(1, passed);
  CHECK(m_answer->code == ResultCode::Duplicate);
  // The clear on its way holds already.
  CHECK_FALSE(IsProposed(Report(9)));
}

TEST(PromptCommandFilter, AClearOfAReportOnItsWayPasses)
{
  CHECK(IsProposed(Report(1)));
  CHECK(IsProposed(MakeClearParts({ "bad" }, m_ms)));
  Apply(Report(1));
  CHECK_FALSE(IsProposed(MakeClearParts({ "bad" }, m_ms)));
  Apply(MakeClearParts({ "bad" }, m_ms));
  CHECK_FALSE(IsProposed(Report(1)));
}

TEST(PromptCommandFilter, OneTrialPasses)
{
  Quarantine();
  CHECK_FALSE(IsProposed(MakeTryPart("bad", "a", m_ms)));
  CHECK(m_answer->code == ResultCode::Duplicate);
  m_ms += kFirstTrialDelayMs;
  int passed = 0;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    passed +=
      IsProposed(MakeTryPart("bad", "a" + std::to_string(gateway), m_ms)) ? 1
                                                                          : 0;
  }
  CHECK_EQUAL(1, passed);
  CHECK(m_answer->code == ResultCode::Duplicate);
}

TEST(PromptCommandFilter, InvalidCommandsAreAnsweredAtOnce)
{
  CHECK_FALSE(IsProposed(MakePromptCrash("e", 1, {}, m_ms)));
  CHECK(m_answer->code == ResultCode::Invalid);
  STRCMP_EQUAL("suspects has 0 entries, expected 1 to 32",
               m_answer->text.c_str());
}
