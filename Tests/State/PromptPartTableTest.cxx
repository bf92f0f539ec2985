// Tests of the rules for prompt parts that crash engines.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "State/Commands.h"
#include "State/ConfigState.h"
#include "State/NamedEntities.h"
#include "State/PromptCommands.h"
#include "State/PromptPartTable.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

constexpr std::uint64_t kStart = 1'000'000; // ms

} // namespace

// clang-format off
TEST_GROUP(PromptPartTable)
{
  ConfigState m_config;
  std::uint64_t m_index = 0;
  std::uint64_t m_now = kStart;

  ResultCode Apply(const state::CommandT& aCommand)
  {
    const std::string before = PackConfig(CopyPromptParts(m_config.Image()));
    const bool expected = WouldChange(m_config.Image(), aCommand);
    const auto result = m_config.Apply(++m_index, aCommand);
    const std::string after = PackConfig(CopyPromptParts(m_config.Image()));
    CHECK_EQUAL(expected, result.code == ResultCode::Ok);
    CHECK_EQUAL(expected, before != after);
    return result.code;
  }
  ResultCode Crash(const std::string& aEndpoint, const std::vector<Suspect>& aSuspects)
  {
    return Apply(MakePromptCrash(aEndpoint, 1, aSuspects, m_now));
  }
  ResultCode Clear(const std::vector<std::string>& aParts)
  {
    return Apply(MakeClearParts(aParts, m_now));
  }
  ResultCode Try(const std::string& aPart)
  {
    return Apply(MakeTryPart(aPart, "trial", m_now));
  }
  const state::PromptPartT* Find(const std::string& aPart)
  {
    return FindEntity(m_config.Image().prompt_parts, aPart);
  }
  std::size_t CountCrashes(const std::string& aPart)
  {
    const auto* part = Find(aPart);
    return part == nullptr ? 0 : part->crashes.size();
  }
  bool IsBlocked(const std::string& aPart)
  {
    const auto* part = Find(aPart);
    return part != nullptr && IsQuarantined(*part);
  }
  std::string ListTied(const std::string& aPart)
  {
    std::string list;
    for (const auto* tied : FindTied(m_config.Image(), *Find(aPart))) {
      list += tied->id + " ";
    }
    return list;
  }
  // Three crashes of distinct engines and requests.
  void Quarantine(const std::vector<std::string>& aParts, const std::string& aEngines = "q")
  {
    for (int count = 0; count < 3; ++count) {
      const std::string name = aEngines + std::to_string(count);
      Crash(name, { { name, aParts } });
    }
  }
};
// clang-format on

TEST(PromptPartTable, ThreeCrashesQuarantine)
{
  CHECK(Crash("e1", { { "a1", { "bad" } } }) == ResultCode::Ok);
  CHECK(Crash("e2", { { "a2", { "bad" } } }) == ResultCode::Ok);
  CHECK_FALSE(IsBlocked("bad"));
  m_now += 100;
  CHECK(Crash("e3", { { "a3", { "bad" } } }) == ResultCode::Ok);
  CHECK(IsBlocked("bad"));
  CHECK_EQUAL(m_now, Find("bad")->quarantined_unix_ms);
}

TEST(PromptPartTable, ThreeStartsOfOneEngineCountAsThree)
{
  for (std::uint64_t start = 1; start <= 3; ++start) {
    CHECK_FALSE(IsBlocked("bad"));
    Apply(MakePromptCrash(
      "e1", start, { { "a" + std::to_string(start), { "bad" } } }, m_now));
  }
  CHECK(IsBlocked("bad"));
}

TEST(PromptPartTable, OneCrashCountsOnceHoweverOftenItIsReported)
{
  CHECK(Crash("e1", { { "a1", { "bad" } } }) == ResultCode::Ok);
  for (int gateway = 2; gateway < 200; ++gateway) {
    CHECK(Crash("e1", { { "a" + std::to_string(gateway), { "bad" } } }) ==
          ResultCode::Duplicate);
  }
  CHECK_EQUAL(1, CountCrashes("bad"));
  CHECK(Crash("e1", { { "a1", { "bad" } }, { "a2", { "other" } } }) ==
        ResultCode::Ok);
  CHECK_EQUAL(1, CountCrashes("bad"));
  CHECK_EQUAL(1, CountCrashes("other"));
}

TEST(PromptPartTable, ARequestThatIsRetriedIsNoEvidenceAlone)
{
  for (int engine = 0; engine < 6; ++engine) {
    CHECK(Crash("e" + std::to_string(engine), { { "a1", { "bad" } } }) ==
          ResultCode::Ok);
  }
  CHECK_FALSE(IsBlocked("bad"));
  Crash("f1", { { "a2", { "bad" } } });
  CHECK_FALSE(IsBlocked("bad"));
  Crash("f2", { { "a3", { "bad" } } });
  CHECK(IsBlocked("bad"));
}

TEST(PromptPartTable, ARequestThatIsNotListedIsChosen)
{
  Crash("e1", { { "a1", { "bad" } } });
  Crash("e2", { { "a1", { "bad" } }, { "a2", { "bad" } } });
  CHECK_FALSE(IsBlocked("bad"));
  Crash("e3", { { "a3", { "bad" } }, { "a1", { "bad" } } });
  CHECK(IsBlocked("bad"));
}

TEST(PromptPartTable, ManyCrashesOfOneRequestLeaveRoomForOthers)
{
  for (std::size_t engine = 0; engine < kMaxCrashesPerPart; ++engine) {
    CHECK(Crash("e" + std::to_string(engine), { { "a1", { "bad" } } }) ==
          ResultCode::Ok);
  }
  CHECK(Crash("e9", { { "a1", { "bad" } } }) == ResultCode::Duplicate);
  CHECK(Crash("f1", { { "a2", { "bad" } } }) == ResultCode::Ok);
  CHECK(Crash("f2", { { "a3", { "bad" } } }) == ResultCode::Ok);
  CHECK(IsBlocked("bad"));
  CHECK_EQUAL(kMaxCrashesPerPart, CountCrashes("bad"));
}

// A zone fails: its engines had requests with a shared part, and the answers
// elsewhere show that the part is sound.
TEST(PromptPartTable, NineEnginesLostAtOnceDoNotKeepASoundPart)
{
  for (int engine = 0; engine < 9; ++engine) {
    const std::string number = std::to_string(engine);
    Crash("e" + number, { { "a" + number, { "shared", "own" + number } } });
  }
  CHECK(IsBlocked("shared"));
  m_now += 50;
  CHECK(Clear({ "shared" }) == ResultCode::Ok);
  CHECK_FALSE(IsBlocked("shared"));
  for (int engine = 0; engine < 9; ++engine) {
    const std::string number = std::to_string(engine);
    CHECK_FALSE(IsBlocked("own" + number));
    Crash("e" + number, { { "b" + number, { "shared" } } });
  }
  CHECK_FALSE(IsBlocked("shared"));
}

// A request whose caller repeats it is blamed after fewer attempts than a part.
TEST(PromptPartTable, ARequestThatComesAgainDoesNotHideItsPart)
{
  Crash("e1", { { "a1", { "bad", "request:1" } } });
  Crash("e2", { { "a1", { "bad", "request:1" } } });
  Crash("e3", { { "a2", { "bad", "request:1" } } });
  CHECK(IsBlocked("request:1"));
  CHECK_FALSE(IsBlocked("bad"));
  Crash("e4", { { "b1", { "bad", "request:2" } } });
  CHECK(IsBlocked("bad"));
  CHECK_FALSE(IsBlocked("request:2"));
}

TEST(PromptPartTable, PartsThatWaitedBesideACrashingRequestAreNotBlamed)
{
  for (int attempt = 0; attempt < 2; ++attempt) {
    const std::string number = std::to_string(attempt);
    Crash("e" + number,
          { { "a" + number, { "request:1" } }, { "b" + number, { "sound" } } });
  }
  Crash("e2", { { "a1", { "request:1" } } });
  CHECK(IsBlocked("request:1"));
  Crash("e3", { { "a3", { "request:1" } }, { "b3", { "sound" } } });
  CHECK_FALSE(IsBlocked("sound"));
}

TEST(PromptPartTable, CoVictimsAreExplainedAway)
{
  Crash("e1", { { "a1", { "bad" } }, { "b1", { "sound" } } });
  Crash("e2", { { "a2", { "bad" } }, { "b2", { "sound" } } });
  CHECK_EQUAL(2, CountCrashes("sound"));
  Crash("e3", { { "a3", { "bad" } }, { "c3", { "other" } } });
  CHECK(IsBlocked("bad"));
  CHECK(Find("sound") == nullptr);
  CHECK(Find("other") == nullptr);
}

TEST(PromptPartTable, AnUnrelatedCrashOfACoVictimStays)
{
  Crash("e0", { { "b0", { "sound" } } });
  Crash("e1", { { "a1", { "bad" } }, { "b1", { "sound" } } });
  Crash("e2", { { "a2", { "bad" } } });
  Crash("e3", { { "a3", { "bad" } } });
  CHECK_EQUAL(1, CountCrashes("sound"));
}

TEST(PromptPartTable, ACrashOfAQuarantinedPartIsNoEvidenceForOthers)
{
  Quarantine({ "bad" });
  for (int engine = 0; engine < 4; ++engine) {
    const std::string number = std::to_string(engine);
    Crash("e" + number,
          { { "b" + number, { "sound" } }, { "a" + number, { "bad" } } });
  }
  CHECK(Find("sound") == nullptr);
  // Another gateway had requests on an engine whose crash is explained.
  CHECK(Crash("e1", { { "b9", { "sound" } } }) == ResultCode::Duplicate);
  CHECK(Find("sound") == nullptr);
}

TEST(PromptPartTable, ACrashThatIsExplainedLaterLeavesTheOthers)
{
  Quarantine({ "bad" });
  Crash("e1", { { "b1", { "sound" } } });
  CHECK_EQUAL(1, CountCrashes("sound"));
  CHECK(Crash("e1", { { "a1", { "bad" } } }) == ResultCode::Ok);
  CHECK(Find("sound") == nullptr);
}

TEST(PromptPartTable, APartThatExplainsMoreCrashesExplainsTheOtherAway)
{
  Crash("e0", { { "a1", { "bad" } } });
  Crash("e1", { { "a1", { "bad" } }, { "b1", { "sound" } } });
  Crash("e2", { { "a2", { "bad" } }, { "b2", { "sound" } } });
  Crash("e3", { { "a3", { "bad" } }, { "b3", { "sound" } } });
  CHECK(IsBlocked("bad"));
  CHECK(Find("sound") == nullptr);
}

TEST(PromptPartTable, EqualEvidenceTies)
{
  Quarantine({ "one", "two" });
  STRCMP_EQUAL("one two ", ListTied("one").c_str());
  STRCMP_EQUAL("one two ", ListTied("two").c_str());
  Quarantine({ "three" }, "r");
  STRCMP_EQUAL("three ", ListTied("three").c_str());
  STRCMP_EQUAL("one two ", ListTied("one").c_str());
  Crash("e9", { { "a9", { "fourth" } } });
  STRCMP_EQUAL("", ListTied("fourth").c_str());
}

TEST(PromptPartTable, TiesDoNotDependOnTheOrderOfReports)
{
  Crash("e1", { { "a1", { "one" } } });
  Crash("e2", { { "a2", { "one", "two" } } });
  Crash("e1", { { "b1", { "two" } } });
  Crash("e3", { { "a3", { "one", "two" } } });
  STRCMP_EQUAL("one two ", ListTied("one").c_str());
}

TEST(PromptPartTable, OnlyQuarantinedPartsWithAllTheCrashesAreTied)
{
  Quarantine({ "more", "one", "open" });
  state::ConfigImageT image = CopyPromptParts(m_config.Image());
  const auto* one = FindEntity(image.prompt_parts, "one");
  CHECK_EQUAL(3, FindTied(image, *one).size());
  auto* open = FindEntity(image.prompt_parts, "open");
  open->quarantined_unix_ms = 0;
  auto* more = FindEntity(image.prompt_parts, "more");
  auto crash = std::make_unique<state::PromptCrashT>(*more->crashes.front());
  crash->endpoint->incarnation = 2;
  more->crashes.push_back(std::move(crash));
  CHECK_EQUAL(1, FindTied(image, *one).size());
  CHECK_EQUAL(1, FindTied(image, *more).size());
  CHECK_EQUAL(0, FindTied(image, *open).size());
}

TEST(PromptPartTable, AClearSplitsATie)
{
  Quarantine({ "one", "two" });
  CHECK(Clear({ "one" }) == ResultCode::Ok);
  CHECK_FALSE(IsBlocked("one"));
  CHECK(IsBlocked("two"));
  STRCMP_EQUAL("two ", ListTied("two").c_str());
}

TEST(PromptPartTable, ACrashOfOneTiedPartReleasesTheOther)
{
  Quarantine({ "one", "two" });
  CHECK(Crash("e1", { { "a1", { "one" } } }) == ResultCode::Ok);
  CHECK(IsBlocked("one"));
  CHECK(Find("two") == nullptr);
}

TEST(PromptPartTable, ACrashOfAllTiedPartsLeavesTheTie)
{
  Quarantine({ "one", "two" });
  Crash("e1", { { "a1", { "one" } }, { "a2", { "two" } } });
  STRCMP_EQUAL("one two ", ListTied("one").c_str());
}

TEST(PromptPartTable, AClearHolds)
{
  Quarantine({ "bad" });
  m_now += 1000;
  CHECK(Clear({ "bad" }) == ResultCode::Ok);
  CHECK_EQUAL(m_now, Find("bad")->cleared_unix_ms);
  CHECK_EQUAL(0, CountCrashes("bad"));
  CHECK(Clear({ "bad", "unknown" }) == ResultCode::Duplicate);
  CHECK(Clear({ "unknown" }) == ResultCode::NotFound);
  m_now += 30'000 - 1;
  CHECK(Crash("e1", { { "a1", { "bad" } } }) == ResultCode::Duplicate);
  m_now += 1;
  CHECK(Crash("e1", { { "a1", { "bad" } } }) == ResultCode::Ok);
  CHECK_EQUAL(1, CountCrashes("bad"));
}

TEST(PromptPartTable, OldEvidenceExpires)
{
  Crash("e1", { { "a1", { "bad", "once" } } });
  m_now += 1;
  Crash("e2", { { "a2", { "bad" } } });
  m_now += 60'000;
  Crash("e3", { { "a3", { "bad" } } });
  CHECK_FALSE(IsBlocked("bad"));
  CHECK_EQUAL(2, CountCrashes("bad"));
  CHECK(Find("once") == nullptr);
  Crash("e4", { { "a4", { "bad" } } });
  CHECK(IsBlocked("bad"));
}

TEST(PromptPartTable, AQuarantineDoesNotExpire)
{
  Quarantine({ "bad", "tied" });
  m_now += 10 * kCrashEvidenceMs;
  Crash("e1", { { "a1", { "other" } } });
  CHECK_EQUAL(3, CountCrashes("bad"));
  STRCMP_EQUAL("bad tied ", ListTied("bad").c_str());
}

// A new leader's clock may be behind.
TEST(PromptPartTable, EvidenceFromTheFutureExpires)
{
  Crash("e1", { { "a1", { "bad" } } });
  m_now -= kCrashEvidenceMs + 1;
  Crash("e2", { { "a2", { "bad" } } });
  CHECK_EQUAL(1, CountCrashes("bad"));
}

TEST(PromptPartTable, TrialsAreGrantedOnceAndAtTheirTimes)
{
  CHECK(Try("bad") == ResultCode::NotFound);
  Crash("e0", { { "a0", { "bad" } } });
  CHECK(Try("bad") == ResultCode::NotFound);
  CHECK_EQUAL(0, NextTrialUnixMs(*Find("bad")));
  Quarantine({ "bad" });
  std::uint32_t trials = 0;
  for (const std::uint64_t delay : { 10'000, 60'000, 3'600'000, 3'600'000 }) {
    CHECK_EQUAL(m_now + delay, NextTrialUnixMs(*Find("bad")));
    m_now += delay - 1;
    CHECK(Try("bad") == ResultCode::Duplicate);
    m_now += 1;
    int granted = 0;
    for (int gateway = 0; gateway < 195; ++gateway) {
      granted += Try("bad") == ResultCode::Ok ? 1 : 0;
    }
    CHECK_EQUAL(1, granted);
    ++trials;
    CHECK_EQUAL(trials, Find("bad")->trials);
    CHECK_EQUAL(m_now, Find("bad")->trial_unix_ms);
  }
}

TEST(PromptPartTable, TiedPartsShareATrial)
{
  Quarantine({ "one", "two" });
  Quarantine({ "three" }, "r");
  m_now += kFirstTrialDelayMs;
  CHECK(Try("one") == ResultCode::Ok);
  CHECK(Try("two") == ResultCode::Duplicate);
  CHECK(Try("three") == ResultCode::Ok);
}

TEST(PromptPartTable, ATrialThatCrashesKeepsTheQuarantine)
{
  Quarantine({ "bad" });
  const std::uint64_t since = m_now;
  m_now += kFirstTrialDelayMs;
  Try("bad");
  Crash("e1", { { "trial", { "bad" } } });
  CHECK_EQUAL(since, Find("bad")->quarantined_unix_ms);
  CHECK_EQUAL(1, Find("bad")->trials);
  CHECK_EQUAL(m_now + kSecondTrialDelayMs, NextTrialUnixMs(*Find("bad")));
}

TEST(PromptPartTable, AnotherQuarantineStartsWithTheFirstTrial)
{
  Quarantine({ "bad" });
  m_now += kFirstTrialDelayMs;
  Try("bad");
  Clear({ "bad" });
  CHECK_EQUAL(0, Find("bad")->trials);
  m_now += kClearHoldMs;
  Quarantine({ "bad" }, "again");
  CHECK(IsBlocked("bad"));
  CHECK_EQUAL(m_now + kFirstTrialDelayMs, NextTrialUnixMs(*Find("bad")));
}
