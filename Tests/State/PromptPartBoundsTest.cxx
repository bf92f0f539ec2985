// Tests of the bounds of the table of prompt parts and of its commands.
#include <string>
#include <vector>

#include "State/ConfigState.h"
#include "State/NamedEntities.h"
#include "State/PromptCommands.h"
#include "State/PromptPartChecks.h"
#include "State/PromptPartTable.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using state::ResultCode;

namespace {

constexpr std::uint64_t kStart = 1'000'000; // ms

std::vector<std::string>
MakeParts(const std::string& aPrefix, std::size_t aCount)
{
  std::vector<std::string> parts;
  for (std::size_t part = 0; part < aCount; ++part) {
    parts.push_back(aPrefix + std::to_string(part));
  }
  return parts;
}

} // namespace

// clang-format off
TEST_GROUP(PromptPartBounds)
{
  ConfigState m_config;
  std::uint64_t m_index = 0;
  std::uint64_t m_now = kStart;

  state::CommandResultT Apply(const state::CommandT& aCommand)
  {
    return m_config.Apply(++m_index, aCommand);
  }
  ResultCode Crash(const std::string& aEndpoint, const std::vector<Suspect>& aSuspects)
  {
    return Apply(MakePromptCrash(aEndpoint, 1, aSuspects, m_now)).code;
  }
  void Quarantine(const std::vector<std::string>& aParts, const std::string& aEngines)
  {
    for (int count = 0; count < 3; ++count) {
      const std::string name = aEngines + std::to_string(count);
      Crash(name, { { name, aParts } });
    }
  }
  const state::PromptPartT* Find(const std::string& aPart)
  {
    return FindEntity(m_config.Image().prompt_parts, aPart);
  }
  std::size_t Count() { return m_config.Image().prompt_parts.size(); }
  void CheckInvalid(const char* aText, const state::CommandT& aCommand)
  {
    const auto result = Apply(aCommand);
    CHECK(result.code == ResultCode::Invalid);
    STRCMP_EQUAL(aText, result.text.c_str());
    CHECK_FALSE(WouldChange(m_config.Image(), aCommand));
    CHECK_EQUAL(0, Count());
  }
};
// clang-format on

TEST(PromptPartBounds, ReportsOverTheLimitsAreInvalid)
{
  const std::string longId(kMaxPromptIdLength + 1, 'x');
  const std::vector<Suspect> one{ { "a", { "p" } } };
  CheckInvalid("endpoint has 0 characters, expected 1 to 128",
               MakePromptCrash("", 1, one, m_now));
  CheckInvalid("endpoint has 129 characters, expected 1 to 128",
               MakePromptCrash(longId, 1, one, m_now));
  CheckInvalid("suspects has 0 entries, expected 1 to 32",
               MakePromptCrash("e", 1, {}, m_now));
  CheckInvalid(
    "suspects has 33 entries, expected 1 to 32",
    MakePromptCrash(
      "e", 1, std::vector<Suspect>(kMaxCrashSuspects + 1, one.front()), m_now));
  CheckInvalid("attempt has 0 characters, expected 1 to 128",
               MakePromptCrash("e", 1, { { "", { "p" } } }, m_now));
  CheckInvalid("attempt has 129 characters, expected 1 to 128",
               MakePromptCrash("e", 1, { { longId, { "p" } } }, m_now));
  CheckInvalid("parts has 0 entries, expected 1 to 32",
               MakePromptCrash("e", 1, { { "a", {} } }, m_now));
  CheckInvalid(
    "parts has 33 entries, expected 1 to 32",
    MakePromptCrash(
      "e", 1, { { "a", MakeParts("p", kMaxPartsPerSuspect + 1) } }, m_now));
  CheckInvalid("part has 0 characters, expected 1 to 128",
               MakePromptCrash("e", 1, { { "a", { "p", "" } } }, m_now));
  CheckInvalid("part has 129 characters, expected 1 to 128",
               MakePromptCrash("e", 1, { { "a", { "p", longId } } }, m_now));
  state::CommandT none = MakePromptCrash("e", 1, one, m_now);
  none.body.AsReportPromptCrash()->endpoint.reset();
  CheckInvalid("endpoint: none, expected one", none);
  state::CommandT empty = MakePromptCrash("e", 1, one, m_now);
  empty.body.AsReportPromptCrash()->suspects.front().reset();
  CheckInvalid("suspects: an entry is empty", empty);
}

TEST(PromptPartBounds, ClearsAndTrialsOverTheLimitsAreInvalid)
{
  const std::string longId(kMaxPromptIdLength + 1, 'x');
  CheckInvalid("parts has 0 entries, expected 1 to 64",
               MakeClearParts({}, m_now));
  CheckInvalid("parts has 65 entries, expected 1 to 64",
               MakeClearParts(MakeParts("p", kMaxClearedParts + 1), m_now));
  CheckInvalid("part has 129 characters, expected 1 to 128",
               MakeClearParts({ longId }, m_now));
  CheckInvalid("part has 0 characters, expected 1 to 128",
               MakeTryPart("", "a", m_now));
  CheckInvalid("attempt has 129 characters, expected 1 to 128",
               MakeTryPart("p", longId, m_now));
}

TEST(PromptPartBounds, CommandsAtTheLimitsAreTaken)
{
  const std::string longId(kMaxPromptIdLength, 'x');
  std::vector<std::string> parts = MakeParts("p", kMaxPartsPerSuspect - 1);
  parts.push_back(longId);
  const std::vector<Suspect> suspects(kMaxCrashSuspects, { longId, parts });
  CHECK(Crash(longId, suspects) == ResultCode::Ok);
  CHECK_EQUAL(kMaxPartsPerSuspect, Count());
  CHECK(Apply(MakeClearParts(MakeParts("p", kMaxClearedParts), m_now)).code ==
        ResultCode::Ok);
}

TEST(PromptPartBounds, TheOldestEvidenceGoesFirst)
{
  Crash("e1", { { "a1", { "oldest" } } });
  m_now += 10;
  Crash("e2", { { "a2", { "cleared" } } });
  Apply(MakeClearParts({ "cleared" }, m_now));
  Quarantine({ "bad" }, "q");
  m_now += 10;
  Crash("e3", { { "a3", MakeParts("x", 31) } });
  m_now += 10;
  Crash("e4", { { "a4", MakeParts("y", 30) } });
  CHECK_EQUAL(kMaxPromptParts, Count());
  m_now += 10;
  Crash("e5", { { "a5", { "new1" } } });
  CHECK_EQUAL(kMaxPromptParts, Count());
  CHECK(Find("oldest") == nullptr);
  CHECK(Find("cleared") != nullptr);
  Crash("e5", { { "a5", { "new2" } } });
  CHECK(Find("cleared") == nullptr);
  Crash("e6", { { "a6", { "x0" } } });
  Crash("e7", { { "a7", MakeParts("z", 32) } });
  CHECK_EQUAL(kMaxPromptParts, Count());
  CHECK(Find("bad") != nullptr);
  CHECK(Find("new1") != nullptr);
  CHECK(Find("x0") != nullptr);
  CHECK(Find("x1") == nullptr);
}

TEST(PromptPartBounds, RequestsAsAWholeLeaveRoomForParts)
{
  Crash("e1", { { "a1", { "bad" } } });
  for (int engine = 0; engine < 3; ++engine) {
    m_now += 10;
    const std::string prefix = "request:" + std::to_string(engine) + "-";
    Crash("f" + std::to_string(engine), { { "b", MakeParts(prefix, 32) } });
  }
  Crash("e2", { { "a2", { "bad" } } });
  Crash("e3", { { "a3", { "bad" } } });
  CHECK(Find("bad") != nullptr);
  CHECK(IsQuarantined(*Find("bad")));
}

TEST(PromptPartBounds, PartsLeaveRoomForRequestsAsAWhole)
{
  Crash("e1", { { "a1", { "request:1" } } });
  for (int engine = 0; engine < 3; ++engine) {
    m_now += 10;
    const std::string prefix = "p" + std::to_string(engine) + "-";
    Crash("f" + std::to_string(engine), { { "b", MakeParts(prefix, 32) } });
  }
  Crash("e2", { { "a2", { "request:1" } } });
  Crash("e3", { { "a2", { "request:1" } } });
  CHECK(Find("request:1") != nullptr);
  CHECK(IsQuarantined(*Find("request:1")));
}

// Otherwise a report that is repeated would change the table each time.
TEST(PromptPartBounds, AReportDoesNotEvictItsOwnParts)
{
  const std::vector<Suspect> suspects{ { "a1", MakeParts("x", 32) },
                                       { "a2", MakeParts("y", 32) },
                                       { "a3", MakeParts("z", 32) } };
  CHECK(Crash("e1", suspects) == ResultCode::Ok);
  CHECK_EQUAL(kMaxPromptParts, Count());
  CHECK(Find("x0") != nullptr);
  CHECK(Find("z0") == nullptr);
  CHECK(Crash("e1", suspects) == ResultCode::Duplicate);
}

// Otherwise the reports of two gateways would evict each other's parts.
TEST(PromptPartBounds, AnotherReportOfACrashDoesNotEvictItsParts)
{
  Crash("e1", { { "a1", MakeParts("x", 32) }, { "a2", MakeParts("y", 32) } });
  CHECK_EQUAL(kMaxPromptParts, Count());
  m_now += 10;
  CHECK(Crash("e1", { { "b1", { "z" } } }) == ResultCode::Duplicate);
  CHECK(Crash("e2", { { "b1", { "z" } } }) == ResultCode::Ok);
}

TEST(PromptPartBounds, APartHeldByAClearDoesNotGiveWayToItsOwnReport)
{
  Crash("e1", { { "a1", { "held" } } });
  Apply(MakeClearParts({ "held" }, m_now));
  m_now += 1;
  Crash("e2", { { "a2", MakeParts("x", 32) }, { "a3", MakeParts("y", 31) } });
  CHECK_EQUAL(kMaxPromptParts, Count());
  Crash("e3", { { "a4", { "new", "held" } } });
  CHECK(Find("new") != nullptr);
  CHECK(Find("held") != nullptr);
  CHECK_EQUAL(0, Find("held")->crashes.size());
}

TEST(PromptPartBounds, QuarantinedPartsGiveWayOnlyOnceTheirEvidenceIsOld)
{
  Quarantine(MakeParts("x", 32), "q");
  m_now += 1;
  Quarantine(MakeParts("y", 32), "r");
  CHECK_EQUAL(kMaxPromptParts, Count());
  CHECK(Crash("e1", { { "a1", { "new" } } }) == ResultCode::Duplicate);
  m_now += kCrashEvidenceMs;
  CHECK(Crash("e1", { { "a1", { "new" } } }) == ResultCode::Ok);
  CHECK_EQUAL(kMaxPromptParts, Count());
  CHECK(Find("x0") == nullptr);
  CHECK(Find("y0") != nullptr);
}

TEST(PromptPartBounds, OtherPartsGiveWayBeforeQuarantinedOnes)
{
  Quarantine(MakeParts("x", 32), "q");
  Quarantine(MakeParts("y", 31), "r");
  m_now += kCrashEvidenceMs + 1;
  Crash("e1", { { "a1", { "young" } } });
  CHECK_EQUAL(kMaxPromptParts, Count());
  Crash("e2", { { "a2", { "new" } } });
  CHECK(Find("young") == nullptr);
  CHECK(Find("new") != nullptr);
  CHECK(Find("x0") != nullptr);
}

TEST(PromptPartBounds, AQuarantinedPartKeepsItsRecentCrashes)
{
  Quarantine({ "bad" }, "q");
  for (std::size_t count = 3; count < kMaxCrashesPerPart; ++count) {
    const std::string name = "e" + std::to_string(count);
    CHECK(Crash(name, { { name, { "bad" } } }) == ResultCode::Ok);
  }
  CHECK(Crash("late", { { "late", { "bad" } } }) == ResultCode::Duplicate);
  CHECK_EQUAL(kMaxCrashesPerPart, Find("bad")->crashes.size());
  m_now += kCrashEvidenceMs + 1;
  CHECK(Crash("late", { { "late", { "bad" } } }) == ResultCode::Ok);
  CHECK_EQUAL(kMaxCrashesPerPart, Find("bad")->crashes.size());
  STRCMP_EQUAL("late", Find("bad")->crashes.back()->endpoint->id.c_str());
}
