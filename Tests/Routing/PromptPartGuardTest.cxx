// Tests of the evidence about prompt parts that crash engines, and of the
// decision on requests with such a part.
#include "Routing/PromptPartGuard.h"

#include <array>

#include "State/NamedEntities.h"
#include "State/PromptPartTable.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(PromptPartGuard)
{
  PromptPartGuard m_guard{ 1 };
  TimePoint m_now{ seconds(100) };
  state::ConfigImageT m_image;

  void Begin(std::string_view aPart)
  {
    const std::array<std::string_view, 1> parts{ aPart };
    m_guard.RecordBegun(m_now, parts);
  }
  void Lose(const std::string& aAttempt, std::vector<std::string> aParts,
            const std::string& aEngine, std::uint64_t aIncarnation = 1)
  {
    m_guard.RecordUnanswered(
      m_now, { aAttempt, std::move(aParts), { { aEngine, aIncarnation } } });
  }
  void End(const std::string& aEngine, std::uint64_t aIncarnation = 1)
  {
    m_guard.RecordLostEngine(m_now, { aEngine, aIncarnation });
    m_guard.ConfirmLostEngine({ aEngine, aIncarnation });
  }
  void ListEndpoint(const std::string& aId, std::uint64_t aIncarnation)
  {
    state::EndpointT endpoint;
    endpoint.id = aId;
    endpoint.incarnation = aIncarnation;
    PutEntity(m_image.endpoints, endpoint);
    m_guard.ConfirmRestarted(m_image);
  }
  // Applies three crashes to the table, which quarantine the parts.
  void Quarantine(const std::vector<std::string>& aParts, std::uint64_t aUnixMs)
  {
    for (int i = 0; i < 3; ++i) {
      const std::string mark = aParts[0] + std::to_string(i);
      state::ReportPromptCrashT report;
      report.unix_ms = aUnixMs;
      report.endpoint = std::make_unique<state::EndpointRefT>();
      report.endpoint->id = "e" + mark;
      report.endpoint->incarnation = 1;
      report.suspects.push_back(std::make_unique<state::CrashSuspectT>());
      report.suspects[0]->attempt = "a" + mark;
      report.suspects[0]->parts = aParts;
      state::CommandResultT result;
      ApplyPromptCrash(m_image, report, result);
      CHECK(result.code == state::ResultCode::Ok);
    }
  }
  PartDecision Decide(std::vector<std::string_view> aParts,
                      std::uint64_t aUnixMs) const
  {
    return PromptPartGuard::Decide(m_image, aParts, aUnixMs);
  }
};
// clang-format on

TEST(PromptPartGuard, ReportsWhatAnEngineHadNotBegunToAnswer)
{
  Begin("shared");
  Lose("a1", { "shared", "bad" }, "e1");
  Lose("a2", { "shared" }, "e1");
  Lose("a3", { "bad" }, "e2");
  CHECK(m_guard.TakeReports(m_now).empty());
  End("e1");
  const auto reports = m_guard.TakeReports(m_now);
  CHECK_EQUAL(1U, reports.size());
  STRCMP_EQUAL("e1", reports[0].endpoint->id.c_str());
  CHECK_EQUAL(1U, reports[0].suspects.size());
  STRCMP_EQUAL("a1", reports[0].suspects[0]->attempt.c_str());
  CHECK_EQUAL(1U, reports[0].suspects[0]->parts.size());
  STRCMP_EQUAL("bad", reports[0].suspects[0]->parts[0].c_str());
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, BeforeTheFirstAnswerNothingIsReported)
{
  for (int i = 0; i < 5; ++i) {
    const std::string engine = "e" + std::to_string(i);
    Lose("a" + std::to_string(i), { "shared", "bad" }, engine);
    End(engine);
  }
  CHECK(m_guard.TakeReports(m_now).empty());
  Begin("shared");
  Lose("a9", { "shared", "bad" }, "e9");
  End("e9");
  const auto reports = m_guard.TakeReports(m_now);
  CHECK_EQUAL(6U, reports.size());
  for (const auto& report : reports) {
    CHECK_EQUAL(1U, report.suspects[0]->parts.size());
  }
  m_now += PromptPartGuard::kProvedFor + milliseconds(1);
  Lose("a10", { "bad" }, "e10");
  End("e10");
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, CrashesBeforeTheFirstAnswerAreReportedAfterIt)
{
  for (int i = 0; i < 5; ++i) {
    const std::string engine = "e" + std::to_string(i);
    Lose("a" + std::to_string(i), { "shared", "bad" }, engine);
    End(engine);
    CHECK(m_guard.TakeReports(m_now).empty());
    m_now += seconds(1);
  }
  Begin("shared");
  const auto reports = m_guard.TakeReports(m_now);
  CHECK_EQUAL(5U, reports.size());
  for (const auto& report : reports) {
    CHECK_EQUAL(1U, report.suspects.size());
    CHECK_EQUAL(1U, report.suspects[0]->parts.size());
    STRCMP_EQUAL("bad", report.suspects[0]->parts[0].c_str());
  }
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, TheLossMayBeKnownBeforeTheAttemptEnds)
{
  Begin("shared");
  End("e1");
  m_now += milliseconds(500);
  Lose("a1", { "bad" }, "e1");
  CHECK_EQUAL(1U, m_guard.TakeReports(m_now).size());
}

TEST(PromptPartGuard, AnotherStartOfTheEngineIsNoEvidence)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1", 1);
  End("e1", 2);
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, AnAttemptLongBeforeTheLossIsNoEvidence)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_now += PromptPartGuard::kMatchWindow + milliseconds(1);
  End("e1");
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, AnEngineThatOnlyFallsSilentIsNoEvidence)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_now += seconds(1);
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, ALossThatMayBeTheLinksIsNotReported)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_guard.RecordLostEngine(m_now, { "e1", 1 });
  CHECK(m_guard.TakeReports(m_now).empty());
  ListEndpoint("e1", 1);
  ListEndpoint("e2", 2);
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, AnEngineThatIsListedAsStartedAgainHasEnded)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_guard.RecordLostEngine(m_now, { "e1", 1 });
  m_now += PromptPartGuard::kMatchWindow + seconds(3);
  CHECK(m_guard.TakeReports(m_now).empty());
  ListEndpoint("e1", 2);
  const auto reports = m_guard.TakeReports(m_now);
  CHECK_EQUAL(1U, reports.size());
  STRCMP_EQUAL("e1", reports[0].endpoint->id.c_str());
  CHECK_EQUAL(1U, reports[0].endpoint->incarnation);
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, ALossIsForgottenWhenNothingConfirmsIt)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_guard.RecordLostEngine(m_now, { "e1", 1 });
  m_now += PromptPartGuard::kDeferredFor + milliseconds(1);
  Begin("shared");
  m_guard.TakeReports(m_now);
  ListEndpoint("e1", 2);
  CHECK(m_guard.TakeReports(m_now).empty());
}

TEST(PromptPartGuard, AnEngineThatIsLostAgainIsReportedWithBothRequests)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_guard.RecordLostEngine(m_now, { "e1", 1 });
  m_now += PromptPartGuard::kMatchWindow + milliseconds(1);
  Lose("a2", { "bad" }, "e1");
  m_guard.RecordLostEngine(m_now, { "e1", 1 });
  ListEndpoint("e1", 2);
  const auto reports = m_guard.TakeReports(m_now);
  CHECK_EQUAL(1U, reports.size());
  CHECK_EQUAL(2U, reports[0].suspects.size());
}

TEST(PromptPartGuard, ManyLossesWithoutRequestsDropNoneWithARequest)
{
  Begin("shared");
  Lose("a1", { "bad" }, "e1");
  m_guard.RecordLostEngine(m_now, { "e1", 1 });
  for (std::size_t i = 0; i < 2 * PromptPartGuard::kMaxCrashes; ++i) {
    m_guard.RecordLostEngine(m_now, { "f" + std::to_string(i), 1 });
  }
  ListEndpoint("e1", 2);
  CHECK_EQUAL(1U, m_guard.TakeReports(m_now).size());
}

TEST(PromptPartGuard, AnAnswerProvesItsPartsForAWhile)
{
  Begin("p");
  const std::array<std::string_view, 1> parts{ "p" };
  CHECK(m_guard.AreProved(m_now, parts));
  m_now += PromptPartGuard::kProvedFor + milliseconds(1);
  CHECK_FALSE(m_guard.AreProved(m_now, parts));
  Begin("p");
  CHECK(m_guard.AreProved(m_now, parts));
}

TEST(PromptPartGuard, WhatItRemembersIsBounded)
{
  for (std::size_t i = 0; i < 3 * PromptPartGuard::kMaxProved; ++i) {
    Begin("p" + std::to_string(i));
  }
  const std::array<std::string_view, 1> first{ "p0" };
  CHECK_FALSE(m_guard.AreProved(m_now, first));
  for (std::size_t i = 0; i < 3 * PromptPartGuard::kMaxUnanswered; ++i) {
    Lose("a" + std::to_string(i), { "bad" }, "e1");
  }
  End("e1");
  const auto reports = m_guard.TakeReports(m_now);
  CHECK_EQUAL(1U, reports.size());
  CHECK(reports[0].suspects.size() <= PromptPartGuard::kMaxUnanswered);
}

TEST(PromptPartGuard, ASuspectedPartThatAnswersBeginOnIsCleared)
{
  Quarantine({ "p", "q" }, 1000);
  Begin("p");
  CHECK(m_guard.TakeClears(m_now, m_image).size() <= 1);
  m_now += PromptPartGuard::kMaxClearDelay;
  const auto clears = m_guard.TakeClears(m_now, m_image);
  CHECK_EQUAL(1U, clears.size());
  STRCMP_EQUAL("p", clears[0].c_str());
  // Sent once, and again only if it had no effect.
  CHECK(m_guard.TakeClears(m_now + milliseconds(10), m_image).empty());
  CHECK_EQUAL(
    1U,
    m_guard.TakeClears(m_now + PromptPartGuard::kMatchWindow, m_image).size());
}

TEST(PromptPartGuard, ClearsOfManyGatewaysAreSpread)
{
  Quarantine({ "p" }, 1000);
  int early = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    PromptPartGuard guard(seed);
    const std::array<std::string_view, 1> parts{ "p" };
    guard.RecordBegun(m_now, parts);
    guard.TakeClears(m_now, m_image);
    early += static_cast<int>(
      guard.TakeClears(m_now + PromptPartGuard::kMaxClearDelay / 4, m_image)
        .size());
  }
  CHECK(early > 20);
  CHECK(early < 100);
}

TEST(PromptPartGuard, AQuarantinedPartIsRefusedUntilItsTrial)
{
  constexpr std::uint64_t kStart = 1000;
  Quarantine({ "bad" }, kStart);
  CHECK(Decide({ "shared" }, kStart).m_verdict == PartVerdict::Serve);
  const PartDecision decision = Decide({ "shared", "bad" }, kStart + 4000);
  CHECK(decision.m_verdict == PartVerdict::Refuse);
  STRCMP_EQUAL("bad", decision.m_part.c_str());
  CHECK(decision.m_untilTrial == milliseconds(kFirstTrialDelayMs - 4000));
  CHECK(Decide({ "bad" }, kStart + kFirstTrialDelayMs).m_verdict ==
        PartVerdict::Try);
}

TEST(PromptPartGuard, PartsThatCrashedTogetherAreRefusedTogetherOnly)
{
  Quarantine({ "bad", "mate" }, 1000);
  CHECK(Decide({ "mate", "bad" }, 1000).m_verdict == PartVerdict::Refuse);
  CHECK(Decide({ "mate" }, 1000).m_verdict == PartVerdict::Serve);
  CHECK(Decide({ "bad" }, 1000).m_verdict == PartVerdict::Serve);
}

TEST(PromptPartGuard, ATrialOfOnePartDoesNotLetAnotherThrough)
{
  Quarantine({ "a" }, 1000);
  Quarantine({ "b" }, 9000);
  const std::uint64_t now = 1000 + kFirstTrialDelayMs;
  CHECK(Decide({ "a" }, now).m_verdict == PartVerdict::Try);
  CHECK(Decide({ "a", "b" }, now).m_verdict == PartVerdict::Refuse);
  CHECK(Decide({ "b", "a" }, now).m_verdict == PartVerdict::Refuse);
}
