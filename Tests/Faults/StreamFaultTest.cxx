// Streams over real connections with a fault at each stage: the caller gets
// every token once, and the text is the one that the model gives.
#include "Faults/StreamFixture.h"

#include <array>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

struct StreamFault
{
  const char* m_name;
  std::function<void(EngineHost&)> m_strike;
};

StreamFault
MakeSwitch(const char* aName, const char* aSwitches)
{
  return { aName,
           [aSwitches](EngineHost& aHost) { aHost.SetFaults(aSwitches); } };
}

const std::array<StreamFault, 8>&
Faults()
{
  static const std::array<StreamFault, 8> kFaults{ {
    { "kill", [](EngineHost& aHost) { aHost.Kill(); } },
    MakeSwitch("freeze", R"({"freeze":true})"),
    MakeSwitch("silent connections", R"({"silent_connections":true})"),
    MakeSwitch("lost answer", R"({"drop_next":1})"),
    MakeSwitch("lost answers", R"({"drop_next":3})"),
    MakeSwitch("duplicate answers", R"({"duplicate_next":3})"),
    MakeSwitch("slow", R"({"delay_ms":300})"),
    MakeSwitch("refuses", R"({"refuse_work":true})"),
  } };
  return kFaults;
}

// Reads a whole stream and strikes after a number of tokens.
void
CheckStream(StreamFixture& aFixture,
            std::size_t aStrikeAfter,
            const std::function<void()>& aStrike,
            const std::string& aCase)
{
  const auto reader = aFixture.Ask();
  std::string text;
  std::size_t tokens = 0;
  while (const auto token = reader->ReadToken()) {
    text += *token;
    if (++tokens == aStrikeAfter) {
      aStrike();
    }
  }
  CHECK_TEXT(reader->IsWhole(), (aCase + ": " + reader->LastLine()).c_str());
  STRCMP_EQUAL_TEXT(
    StreamFixture::ExpectedText().c_str(), text.c_str(), aCase.c_str());
}

} // namespace

TEST_GROUP(StreamFault){};

TEST(StreamFault, WithoutAFaultEveryLayerRunsOnceInOrder)
{
  StreamFixture fixture;
  CheckStream(
    fixture, 0, [] {}, "no fault");
}

TEST(StreamFault, EveryFaultAtEveryStageLosesAndDoublesNoToken)
{
  for (const StreamFault& fault : Faults()) {
    for (std::size_t stage = 0; stage < StreamFixture::kStages; ++stage) {
      StreamFixture fixture;
      const std::string name =
        std::string(fault.m_name) + " at stage " + std::to_string(stage);
      const auto strike = [&] { fault.m_strike(fixture.EngineInUse(stage)); };
      CheckStream(fixture, 3, strike, name);
    }
  }
}

TEST(StreamFault, FaultsBeforeTheFirstTokenAreHidden)
{
  for (const StreamFault& fault : Faults()) {
    StreamFixture fixture;
    fault.m_strike(*fixture.m_engines.front());
    CheckStream(
      fixture, 0, [] {}, std::string(fault.m_name) + " before");
  }
}

TEST(StreamFault, TwoStagesAtOnceAndThenAnother)
{
  StreamFixture fixture;
  const auto strike = [&] {
    fixture.EngineInUse(0).Kill();
    fixture.EngineInUse(2).SetFaults(R"({"freeze":true})");
  };
  CheckStream(fixture, 4, strike, "two stages at once");
}

TEST(StreamFault, AllRunnersOfAStageGoneEndsWithAClearError)
{
  StreamFixture fixture;
  fixture.m_engines[2]->Kill();
  fixture.m_engines[3]->Kill();
  const auto response = SendHttp(fixture.m_gateway.Port(),
                                 "POST",
                                 "/v1/chat/completions",
                                 { { "Authorization", "Bearer secret" } },
                                 R"({"model":"ice","max_tokens":4,
                 "messages":[{"role":"user","content":"x"}]})");
  CHECK(response.m_status == 503 || response.m_status == 504);
  CHECK(!response.Header("Retry-After").empty());
}

TEST(StreamFault, ACallerThatGoesAwayEndsItsStream)
{
  StreamFixture fixture;
  const auto reader = fixture.Ask();
  CHECK(reader->ReadToken().has_value());
  reader->Close();
  DrainState& drain = fixture.m_gateway.Server().Drain();
  while (drain.Active() != 0) {
    std::this_thread::yield();
  }
  CheckStream(
    fixture, 0, [] {}, "after a caller has gone");
}

TEST(StreamFault, AGracefulStopCutsOffNoStream)
{
  StreamFixture fixture;
  DrainState& drain = fixture.m_gateway.Server().Drain();
  const auto strike = [&] { drain.Begin(BootClock::now()); };
  CheckStream(fixture, 2, strike, "graceful stop");
}
