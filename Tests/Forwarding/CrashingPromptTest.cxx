// Tests of requests whose prompt has a part that crashes every engine which
// begins to answer it.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(CrashingPrompt)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_engines;
  int m_crashes = 0;
  int m_requests = 0;

  void teardown() override { m_fixture.reset(); }

  // Starts engines that hold all layers and end when they begin to answer a
  // request with the part "bad".
  void Start(int aCount)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < aCount; ++i) {
      m_engines.push_back(&m_fixture->AddEngine(0, 4));
    }
    for (StubEndpoint* engine : m_engines) {
      engine->SetScript(
        WithEngineState([this, engine](const HttpRequest& aRequest) {
          if (!IsCrashing(aRequest)) {
            return StreamAll(aRequest);
          }
          ++m_crashes;
          return std::vector<StubStep>{
            Send(MakeStreamHead(AttemptIdOf(aRequest))),
            Await([engine] { engine->Stop(); return true; }), CloseNow() };
        }));
    }
    m_fixture->Start();
  }

  static bool IsCrashing(const HttpRequest& aRequest)
  {
    const std::string parts(aRequest["Prompt-Prefix"]);
    return parts.find("bad:") != std::string::npos;
  }

  // Each request has an attempt id and a last part of its own.
  std::string Ask(const std::string& aParts)
  {
    return AskWhole(aParts + ",b" + std::to_string(m_requests + 1) + "f:60");
  }

  // The parts are the whole prompt, so that a request can come again.
  std::string AskWhole(const std::string& aParts)
  {
    const std::string id = "b" + std::to_string(++m_requests);
    const auto caller = m_fixture->Connect();
    caller->Send(
      "POST /stream/x HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: " + id +
      "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer k1\r\n"
      "Token-Usage: 100,40\r\nModel: m\r\nConnection: close\r\n"
      "Prompt-Prefix: " + aParts + "\r\n\r\n");
    return m_fixture->RunUntil([&] { return caller->IsClosed(); })
      ? caller->Received() : "no answer";
  }

  // Applies the report of another gateway.
  void ReportElsewhere(const std::string& aMark, const std::vector<std::string>& aParts)
  {
    state::ReportPromptCrashT report;
    report.unix_ms = 1000;
    report.endpoint = std::make_unique<state::EndpointRefT>();
    report.endpoint->id = "other-" + aMark;
    report.endpoint->incarnation = 1;
    report.suspects.push_back(std::make_unique<state::CrashSuspectT>());
    report.suspects[0]->attempt = "x" + aMark;
    report.suspects[0]->parts = aParts;
    state::CommandT command;
    command.body.Set(std::move(report));
    m_fixture->m_control.Apply(command);
  }
  // Applies reports of other gateways that quarantined the parts long ago.
  void QuarantineElsewhere(const std::vector<std::string>& aParts)
  {
    for (const char* mark : { "0", "1", "2" }) {
      ReportElsewhere(mark, aParts);
    }
  }
};
// clang-format on

TEST(CrashingPrompt, IsNotSentToFurtherEnginesOnceFiveHaveCrashed)
{
  constexpr int kEngines = 24;
  constexpr int kCrashesBefore = 5;
  constexpr int kMaxMore = 3;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  while (m_crashes < kCrashesBefore) {
    Ask("5aed:40,bad:20");
  }
  const int before = m_crashes;
  for (int i = 0; i < 12; ++i) {
    Ask("5aed:40,bad:20");
  }
  CHECK(m_crashes - before <= kMaxMore);
}

TEST(CrashingPrompt, IsNotHiddenByTheRequestsThatComeAgain)
{
  constexpr int kEngines = 30;
  constexpr int kCrashesBefore = 5;
  constexpr int kMaxMore = 3;
  constexpr int kPrompts = 10;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  int before = 0;
  for (int prompt = 0; prompt < kPrompts; ++prompt) {
    const std::string parts =
      "5aed:40,bad:20,f" + std::to_string(prompt) + ":60";
    for (int attempt = 0; attempt < 3; ++attempt) {
      AskWhole(parts);
      m_fixture->RunUntil([polls = 0]() mutable { return ++polls > 4; });
    }
    if (before == 0 && m_crashes >= kCrashesBefore) {
      before = m_crashes;
    }
  }
  CHECK(before != 0);
  CHECK(m_crashes - before <= kMaxMore);
}

TEST(CrashingPrompt, SoundRequestsWithItsOtherPartsAreServed)
{
  constexpr int kEngines = 16;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  for (int i = 0; i < 8; ++i) {
    Ask("5aed:40,bad:20");
    CheckAllEventsOnce(Ask("5aed:40"));
  }
  CheckAllEventsOnce(Ask("5aed:40,cafe:20"));
  CHECK_EQUAL(200, StatusOf(Ask("5aed:40")));
}

TEST(CrashingPrompt, IsRefusedAtOnceWithTheTimeOfTheNextTrial)
{
  constexpr int kEngines = 24;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  while (!m_fixture->m_sink.Has({ "prompt_part_quarantined", "bad" })) {
    Ask("5aed:40,bad:20");
    m_fixture->RunUntil([polls = 0]() mutable { return ++polls > 4; });
  }
  const int before = m_crashes;
  const std::string answer = Ask("5aed:40,bad:20");
  CHECK_EQUAL(503, StatusOf(answer));
  const auto place = answer.find("Retry-After: ");
  CHECK(place != std::string::npos);
  CHECK(std::atof(answer.c_str() + place + 13) > 5);
  CHECK_EQUAL(before, m_crashes);
  CHECK(m_fixture->m_sink.Has({ "request_refused", "crashing_prompt" }));
}

TEST(CrashingPrompt, OneRequestEndsTwoEnginesAtMost)
{
  constexpr int kEngines = 8;
  Start(kEngines);
  CHECK_EQUAL(502, StatusOf(Ask("5aed:40,bad:20")));
  CHECK(m_crashes <= 2);
}

TEST(CrashingPrompt, ARequestWhosePartsAreSoundIsSentToAThirdEngine)
{
  constexpr int kEngines = 8;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  int calls = 0;
  for (StubEndpoint* engine : m_engines) {
    engine->SetScript(WithEngineState([&](const HttpRequest& aRequest) {
      return ++calls > 2 ? StreamAll(aRequest)
                         : std::vector<StubStep>{ CloseNow() };
    }));
  }
  CheckAllEventsOnce(Ask("5aed:40"));
}

TEST(CrashingPrompt, ConnectionsThatBreakWithoutACrashAreNoEvidence)
{
  constexpr int kEngines = 8;
  Start(kEngines);
  for (StubEndpoint* engine : m_engines) {
    engine->SetScript(WithEngineState(
      [](const HttpRequest&) { return std::vector<StubStep>{ CloseNow() }; }));
  }
  for (int i = 0; i < 12; ++i) {
    CHECK_EQUAL(502, StatusOf(Ask("5aed:40,face:20")));
  }
  CHECK_FALSE(m_fixture->m_sink.Has({ "prompt_crash_reported" }));
  CHECK(m_fixture->m_control.View()->Image().prompt_parts.empty());
}

TEST(CrashingPrompt, APartThatAnotherGatewaySuspectsIsClearedByAnAnswer)
{
  Start(2);
  CheckAllEventsOnce(Ask("5aed:40,face:20"));
  QuarantineElsewhere({ "face" });
  CHECK(m_fixture->RunUntil([&] {
    return m_fixture->m_sink.Has({ "prompt_part_cleared", "face" });
  }));
  CheckAllEventsOnce(Ask("5aed:40,face:20"));
}

TEST(CrashingPrompt, APartThatIsReleasedIsNotSaidToBeAnswered)
{
  Start(2);
  QuarantineElsewhere({ "dead", "tied" });
  CHECK(m_fixture->RunUntil([&] {
    return m_fixture->m_sink.Has({ "prompt_part_quarantined", "tied" });
  }));
  ReportElsewhere("3", { "dead" });
  CHECK(m_fixture->RunUntil([&] {
    return m_fixture->m_sink.Has({ "prompt_part_cleared", "tied" });
  }));
  CHECK(m_fixture->m_sink.Has(
    { "prompt_part_cleared", "other parts account for its crashes" }));
}

TEST(CrashingPrompt, ATrialIsGrantedOnceAndClearsThePart)
{
  Start(2);
  QuarantineElsewhere({ "face" });
  CheckAllEventsOnce(Ask("5aed:40,face:20"));
  CHECK(m_fixture->m_sink.Has({ "prompt_part_tried", "granted" }));
  CHECK(m_fixture->RunUntil([&] {
    return m_fixture->m_sink.Has({ "prompt_part_cleared", "face" });
  }));
}

TEST(CrashingPrompt, WhatAllRequestsShareIsNotBlamedForCrashesAtTheStart)
{
  constexpr int kEngines = 24;
  Start(kEngines);
  // No answer has begun yet, so nothing tells the two parts apart.
  for (int i = 0; i < 4; ++i) {
    Ask("5aed:40,bad:20");
  }
  CheckAllEventsOnce(Ask("5aed:40"));
  while (!m_fixture->m_sink.Has({ "prompt_part_quarantined", "bad" })) {
    Ask("5aed:40,bad:20");
    m_fixture->RunUntil([polls = 0]() mutable { return ++polls > 4; });
  }
  CHECK_FALSE(m_fixture->m_sink.Has({ "prompt_part_quarantined", "5aed" }));
  CheckAllEventsOnce(Ask("5aed:40"));
}
