// Tests of a VM that loses its links to the endpoints while its callers and the
// other VMs still reach it.
#include <algorithm>

#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr int kWarmUps = 4;
constexpr int kRequests = 6;

const std::string kPromptHeader =
  "Token-Usage: 100,40\r\nModel: m\r\nPrompt-Prefix: 1:60,2:40\r\n";

std::vector<StubStep>
AnswerPlain(const HttpRequest& aRequest)
{
  return { Send(MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
}

// Sends events 1 to 3 and then nothing; the rest to a caller that has these.
std::vector<StubStep>
StreamUntilResumed(const HttpRequest& aRequest)
{
  if (!aRequest["Last-Event-Id"].empty()) {
    return StreamAll(aRequest);
  }
  return { Send(MakeStreamHead(AttemptIdOf(aRequest))),
           Send(MakeEvent(1) + MakeEvent(2) + MakeEvent(3)),
           Hang() };
}

} // namespace

// clang-format off
TEST_GROUP(CutOffVm)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  StubEndpoint* m_plain = nullptr;
  StubEndpoint* m_otherPlain = nullptr;
  StubEndpoint* m_engine = nullptr;
  StubEndpoint* m_otherEngine = nullptr;
  int m_engineReports = 0;
  int m_crashReports = 0;

  void teardown() override { m_fixture.reset(); }

  void SetEngineScripts(const StubEndpoint::Script& aScript)
  {
    m_engine->SetScript(WithEngineState(aScript));
    m_otherEngine->SetScript(WithEngineState(aScript));
  }
  // Starts the first gateway, whose links can be cut, and perhaps a second one,
  // with two endpoints of each service.
  void Start(bool aHasSecond)
  {
    m_fixture->PutConfig();
    m_plain = &m_fixture->AddPlainEndpoint();
    m_otherPlain = &m_fixture->AddPlainEndpoint();
    m_engine = &m_fixture->AddEngine(0, 4);
    m_otherEngine = &m_fixture->AddEngine(0, 4);
    m_plain->SetScript(AnswerPlain);
    m_otherPlain->SetScript(AnswerPlain);
    SetEngineScripts(StreamAll);
    m_fixture->m_control.SetBefore([this](const state::CommandT& aCommand) {
      m_engineReports += aCommand.body.AsSuspectEndpoint() != nullptr ? 1 : 0;
      m_crashReports += aCommand.body.AsReportPromptCrash() != nullptr ? 1 : 0;
    });
    m_fixture->LinkFirstGateway();
    m_fixture->Start();
    if (aHasSecond) {
      m_fixture->StartSecondGateway();
    }
  }
  std::string Ask(const std::string& aPath)
  {
    const bool isStream = aPath.starts_with("/stream/");
    return m_fixture->SendRequest(isStream ? "POST" : "GET",
                                  aPath,
                                  isStream ? kPromptHeader : "",
                                  isStream ? "prompt" : "");
  }
  // Sends a few requests, after which the gateway knows its links, and returns
  // how many of the following ones are served.
  int CountServed(const std::string& aPath)
  {
    for (int i = 0; i < kWarmUps; ++i) {
      Ask(aPath);
    }
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      served += StatusOf(Ask(aPath)) == 200 ? 1 : 0;
    }
    return served;
  }
  void CheckAllKindsServed()
  {
    CHECK_EQUAL(kRequests, CountServed("/safe/x"));
    CHECK_EQUAL(kRequests, CountServed("/unsafe/x"));
    CHECK_EQUAL(kRequests, CountServed("/stream/x"));
  }
  // Runs for this long.
  void RunFor(Duration aTime)
  {
    const TimePoint until = BootClock::now() + aTime;
    m_fixture->RunUntil([until] { return BootClock::now() >= until; });
  }
};
// clang-format on

TEST(CutOffVm, ItsCallersAreServedThroughAVmInTouchWhereConnectionsAreRefused)
{
  Start(true);
  CheckAllKindsServed();
  m_fixture->SetLinks(LinkState::Refuse);
  CheckAllKindsServed();
}

TEST(CutOffVm, ItsCallersAreServedThroughAVmInTouchWhereConnectionsHang)
{
  Start(true);
  CheckAllKindsServed();
  m_fixture->SetLinks(LinkState::Silent);
  CheckAllKindsServed();
}

// Failure: a link that takes connections and resets them.
TEST(CutOffVm, ItsCallersAreServedThroughAVmInTouchWhereConnectionsBreak)
{
  Start(true);
  CheckAllKindsServed();
  m_fixture->SetLinks(LinkState::Reset);
  CheckAllKindsServed();
}

TEST(CutOffVm, ABegunStreamGoesOnThroughAVmInTouch)
{
  Start(true);
  SetEngineScripts(StreamUntilResumed);
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest(
    "POST", "/stream/x", kPromptHeader + "Connection: close\r\n", "prompt"));
  CHECK(m_fixture->RunUntil(
    [&] { return EventsOf(caller->Received()).size() == 3; }));
  m_fixture->SetLinks(LinkState::Refuse);
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckAllEventsOnce(caller->Received());
}

// Failure: what a VM cannot reach, the fleet takes for dead and rebuilds, and
// sound prompts come under quarantine.
TEST(CutOffVm, ReportsNoEngineAndNoCrash)
{
  Start(true);
  SetEngineScripts([](const HttpRequest&) { return std::vector{ Hang() }; });
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(
      MakeRequest("POST", "/stream/x", kPromptHeader, "prompt"));
  }
  CHECK(m_fixture->RunUntil(
    [&] { return AttemptsAt(*m_engine) + AttemptsAt(*m_otherEngine) == 4; }));
  SetEngineScripts(StreamAll);
  m_fixture->SetLinks(LinkState::Refuse);
  CountServed("/stream/x");
  CHECK_EQUAL(0, m_engineReports);
  CHECK_EQUAL(0, m_crashReports);
}

// Failure: reports that waited for a witness left when the links were back.
TEST(CutOffVm, ReportsNoEngineWhenItsLinksAreBack)
{
  Start(true);
  CountServed("/stream/x");
  m_fixture->SetLinks(LinkState::Refuse);
  CountServed("/stream/x");
  m_fixture->SetLinks(LinkState::Open);
  CHECK(m_fixture->RunUntil(
    [this] { return m_fixture->m_sink.Has({ "endpoints_reached" }); }));
  RunFor(std::chrono::milliseconds(200));
  CountServed("/stream/x");
  CHECK_EQUAL(0, m_engineReports);
}

// Load: all begun streams of a VM come to one other VM at the same moment.
TEST(CutOffVm, ManyBegunStreamsGoOnThroughOneVmInTouch)
{
  constexpr int kStreams = 12;
  m_fixture->m_options.m_retries.m_slack = 1e6;
  Start(false);
  // What the VM in touch may retry itself is not used up by others.
  m_fixture->m_options.m_retries.m_slack = 0;
  m_fixture->m_options.m_retries.m_ratio = 0;
  m_fixture->StartSecondGateway();
  SetEngineScripts(StreamUntilResumed);
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < kStreams; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(MakeRequest(
      "POST", "/stream/x", kPromptHeader + "Connection: close\r\n", "prompt"));
  }
  for (const auto& caller : callers) {
    CHECK(m_fixture->RunUntil(
      [&] { return EventsOf(caller->Received()).size() == 3; }));
  }
  m_fixture->SetLinks(LinkState::Refuse);
  for (const auto& caller : callers) {
    CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
    CheckAllEventsOnce(caller->Received());
  }
}

TEST(CutOffVm, AnEngineThatEndsIsReportedByAVmInTouch)
{
  Start(false);
  CountServed("/stream/x");
  StubEndpoint& used = AttemptsAt(*m_engine) != 0 ? *m_engine : *m_otherEngine;
  used.Stop();
  m_fixture->LinkOf(used).Set(LinkState::Refuse);
  CountServed("/stream/x");
  CHECK(m_fixture->RunUntil([&] { return m_engineReports != 0; }));
}

TEST(CutOffVm, ItsCallersAreRefusedAtOnceWhereNoVmIsInTouch)
{
  Start(false);
  m_fixture->SetLinks(LinkState::Refuse);
  CountServed("/stream/x");
  CountServed("/safe/x");
  for (const char* path : { "/stream/x", "/safe/x" }) {
    const TimePoint sentAt = BootClock::now();
    const std::string answer = Ask(path);
    CHECK(BootClock::now() - sentAt < std::chrono::milliseconds(100));
    CHECK_EQUAL(503, StatusOf(answer));
    CHECK(RetryAfterOf(answer) > 0);
  }
}

TEST(CutOffVm, ConnectionsThatStillWorkAreUsed)
{
  Start(true);
  CheckAllKindsServed();
  const std::size_t before = AttemptsAt(*m_plain) + AttemptsAt(*m_otherPlain);
  const int connections = m_fixture->LinkOf(*m_plain).Connections() +
                          m_fixture->LinkOf(*m_otherPlain).Connections();
  m_fixture->SetLinks(LinkState::RefuseNew);
  CHECK_EQUAL(kRequests, CountServed("/safe/x"));
  CHECK_EQUAL(before + kWarmUps + kRequests,
              AttemptsAt(*m_plain) + AttemptsAt(*m_otherPlain));
  CHECK_EQUAL(connections,
              m_fixture->LinkOf(*m_plain).Connections() +
                m_fixture->LinkOf(*m_otherPlain).Connections());
}

// The caller of a request that may have run is told so.
TEST(CutOffVm, ARequestThatMayHaveRunIsNotSentAgain)
{
  Start(true);
  const auto hang = [](const HttpRequest&) { return std::vector{ Hang() }; };
  m_plain->SetScript(hang);
  m_otherPlain->SetScript(hang);
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest("POST", "/unsafe/x", "Connection: close\r\n", "b"));
  CHECK(m_fixture->RunUntil(
    [&] { return AttemptsAt(*m_plain) + AttemptsAt(*m_otherPlain) == 1; }));
  m_fixture->SetLinks(LinkState::Refuse);
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CHECK_EQUAL(502, StatusOf(caller->Received()));
  CHECK_EQUAL(1U, AttemptsAt(*m_plain) + AttemptsAt(*m_otherPlain));
}

// Failure: VMs that reach an engine leave it because another VM does not.
TEST(CutOffVm, ItsReportsOpenNoCircuitInAVmInTouch)
{
  Start(false);
  CountServed("/stream/x");
  RunFor(std::chrono::milliseconds(450));
  m_fixture->ReportSuspected(*m_engine);
  m_fixture->ReportSuspected(*m_otherEngine);
  RunFor(std::chrono::milliseconds(300));
  CHECK_FALSE(m_fixture->m_sink.Has({ "endpoint_suspected" }));
  CHECK_EQUAL(kRequests, CountServed("/stream/x"));
}
