// Tests of what callers get from a VM that stops. They guard against requests
// that were read whole and end without an answer, and against requests that
// reach an endpoint too late to finish.
#include <algorithm>

#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Included last, since its leak detection macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr int kLongMs = 20'000;
// Loop runs after which bytes on loopback connections have arrived.
constexpr int kSettleRuns = 50;
constexpr std::size_t kBodyBytes = 100;

std::vector<StubStep>
AnswerOk(const HttpRequest& aRequest)
{
  return { Send(MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
}

bool
IsTested(const HttpRequest& aRequest)
{
  return aRequest.target().ends_with("/x");
}

// Answers no request but those that show a VM its links.
std::vector<StubStep>
NeverAnswer(const HttpRequest& aRequest)
{
  return IsTested(aRequest) ? std::vector<StubStep>{ Hang() }
                            : AnswerOk(aRequest);
}

std::vector<StubStep>
BeginStream(const HttpRequest& aRequest)
{
  return StreamPart(aRequest, Hang());
}

void
CheckIsRefusedForTheStop(const std::string& aAnswer)
{
  CHECK_EQUAL(503, StatusOf(aAnswer));
  CHECK(RetryAfterOf(aAnswer) > 0);
  STRCMP_CONTAINS("Connection: close", aAnswer.c_str());
  STRCMP_CONTAINS("this VM is about to end", aAnswer.c_str());
}

} // namespace

// clang-format off
TEST_GROUP(StoppingGateway)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  StubEndpoint* m_plain = nullptr;
  StubEndpoint* m_engine = nullptr;

  void setup() override
  {
    m_fixture->m_plainTimeoutMs = kLongMs;
    m_fixture->m_options.m_stopGrace = std::chrono::seconds(2);
  }
  void teardown() override { m_fixture.reset(); }

  // Starts the gateway with a plain endpoint that never answers and an engine
  // whose streams begin and never end.
  void Start()
  {
    m_fixture->PutConfig();
    m_plain = &m_fixture->AddPlainEndpoint();
    m_plain->SetScript(NeverAnswer);
    m_engine = &m_fixture->AddEngine(0, 4);
    m_engine->SetScript(WithEngineState(BeginStream));
    m_fixture->Start();
  }
  // Starts a gateway whose links to the endpoints are cut, and a second one
  // that takes its requests over.
  void StartCutOff()
  {
    m_fixture->PutConfig();
    m_plain = &m_fixture->AddPlainEndpoint();
    m_plain->SetScript(NeverAnswer);
    m_fixture->LinkFirstGateway();
    m_fixture->Start();
    m_fixture->StartSecondGateway();
    m_fixture->SetLinks(LinkState::Refuse);
    CHECK(m_fixture->RunUntil([&] {
      return StatusOf(m_fixture->SendRequest("GET", "/safe/links")) == 200;
    }));
  }
  std::unique_ptr<ForwardFixture::Caller> Send(const std::string& aMethod,
                                               const std::string& aPath)
  {
    auto caller = m_fixture->Connect();
    const std::string headers =
      "Deadline-Ms: " + std::to_string(kLongMs) + "\r\n" + kStreamHeader;
    std::string request = MakeRequest(aMethod, aPath, headers, "body");
    const std::string usual = "Deadline-Ms: 5000\r\n";
    caller->Send(request.erase(request.find(usual), usual.size()));
    return caller;
  }
  void RunUntilAsked(const StubEndpoint& aEndpoint)
  {
    CHECK(m_fixture->RunUntil([&] {
      return std::any_of(
        aEndpoint.Requests().begin(), aEndpoint.Requests().end(), IsTested);
    }));
  }
  // Runs until the process of a gateway would end.
  void RunUntilStopped(const ForwardGateway& aGateway)
  {
    CHECK(m_fixture->RunUntil(
      [&] { return aGateway.IsStopped(BootClock::now()); }));
    Settle();
  }
  void Settle()
  {
    m_fixture->RunUntil([runs = 0]() mutable { return ++runs > kSettleRuns; });
  }
  void Stop()
  {
    m_fixture->m_gateway->BeginStop();
    RunUntilStopped(*m_fixture->m_gateway);
  }
  // Runs until a request that has just arrived is refused.
  void RunUntilRefusing(std::uint16_t aPort = 0)
  {
    CHECK(m_fixture->RunUntil([&] {
      return StatusOf(
               m_fixture->SendRequest("GET", "/nowhere/x", "", "", aPort)) ==
             503;
    }));
  }
};
// clang-format on

TEST(StoppingGateway, ARequestThatOutlastsTheGraceIsAnswered)
{
  Start();
  const auto caller = Send("POST", "/unsafe/x");
  RunUntilAsked(*m_plain);
  Stop();
  CHECK_EQUAL(504, StatusOf(caller->Received()));
  CHECK(caller->IsClosed());
}

TEST(StoppingGateway, ASafeRequestThatOutlastsTheGraceIsAnswered)
{
  Start();
  StubEndpoint& other = m_fixture->AddPlainEndpoint();
  other.SetScript(NeverAnswer);
  const auto caller = Send("GET", "/safe/x");
  CHECK(m_fixture->RunUntil(
    [&] { return AttemptsAt(*m_plain) * AttemptsAt(other) != 0; }));
  Stop();
  CHECK_EQUAL(504, StatusOf(caller->Received()));
}

TEST(StoppingGateway, ARequestTakenWhileItTurnsAwayIsAnswered)
{
  m_fixture->m_options.m_drainGrace = std::chrono::milliseconds(500);
  Start();
  m_fixture->m_gateway->BeginStop();
  const auto caller = Send("POST", "/unsafe/x");
  RunUntilAsked(*m_plain);
  RunUntilStopped(*m_fixture->m_gateway);
  CHECK_EQUAL(504, StatusOf(caller->Received()));
  // The endpoint is told how long the VM can wait for its answer.
  CHECK(std::stoi(std::string(m_plain->Requests()[0]["Deadline-Ms"])) < 2000);
}

TEST(StoppingGateway, AStreamThatHasNotBegunIsAnswered)
{
  Start();
  m_engine->SetScript(WithEngineState(NeverAnswer));
  const auto caller = Send("POST", "/once/x");
  RunUntilAsked(*m_engine);
  Stop();
  CHECK_EQUAL(504, StatusOf(caller->Received()));
}

TEST(StoppingGateway, AStreamThatOutlastsTheGraceEndsAsIncomplete)
{
  Start();
  const auto caller = Send("POST", "/stream/x");
  CHECK(m_fixture->RunUntil(
    [&] { return EventsOf(caller->Received()).size() == 3; }));
  Stop();
  CHECK(caller->IsClosed());
  CHECK_EQUAL(200, StatusOf(caller->Received()));
  CHECK_FALSE(IsComplete(caller->Received()));
}

TEST(StoppingGateway, ARequestThatAHelperTookOverIsAnsweredWhereTheHelperStops)
{
  StartCutOff();
  const auto caller = Send("POST", "/unsafe/x");
  RunUntilAsked(*m_plain);
  m_fixture->m_secondGateway->BeginStop();
  RunUntilStopped(*m_fixture->m_secondGateway);
  CHECK_EQUAL(504, StatusOf(caller->Received()));
}

TEST(StoppingGateway, ARequestThatAHelperTookOverIsAnsweredWhereItsVmStops)
{
  StartCutOff();
  const auto caller = Send("POST", "/unsafe/x");
  RunUntilAsked(*m_plain);
  Stop();
  CHECK_EQUAL(504, StatusOf(caller->Received()));
}

TEST(StoppingGateway, AHelpersRefusalPromisesThatTheRequestHasNotRun)
{
  StartCutOff();
  m_plain->SetScript(AnswerOk);
  const std::size_t asked = AttemptsAt(*m_plain);
  // The other VM does not learn that its helper stops.
  m_fixture->m_control.SetFate(
    [](const state::CommandT&) { return ProposalFate::Lost; });
  m_fixture->m_secondGateway->BeginStop();
  RunUntilRefusing(m_fixture->m_secondGateway->Port());
  const std::string answer = m_fixture->SendRequest("POST", "/unsafe/x");
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK_EQUAL(asked, AttemptsAt(*m_plain));
}

TEST(StoppingGateway, AStreamThatWaitsForAPathWhenTheRefusalBeginsIsNotSent)
{
  m_fixture->PutConfig();
  m_fixture->AddEngine(0, 2).SetScript(WithEngineState(StreamAll));
  m_fixture->Start();
  const auto caller = Send("POST", "/stream/x");
  Settle();
  m_fixture->m_gateway->BeginStop();
  RunUntilRefusing();
  m_fixture->AddEngine(2, 4).SetScript(WithEngineState(StreamAll));
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckIsRefusedForTheStop(caller->Received());
}

TEST(StoppingGateway, ARequestThatWaitsForAConfigurationIsRefused)
{
  m_fixture->m_options.m_stopGrace = std::chrono::seconds(1);
  m_fixture->Start();
  const auto caller = Send("POST", "/unsafe/x");
  Settle();
  Stop();
  CheckIsRefusedForTheStop(caller->Received());
}

TEST(StoppingGateway, ARequestWhoseBodyEndsAfterTheRefusalBeganIsNotSent)
{
  m_fixture->m_options.m_stopGrace = std::chrono::seconds(20);
  Start();
  // Keeps the gateway up.
  const auto longer = Send("POST", "/once/x");
  RunUntilAsked(*m_engine);
  const auto caller = m_fixture->Connect();
  const std::string request =
    MakeRequest("POST", "/unsafe/x", "", std::string(kBodyBytes, 'b'));
  caller->Send(request.substr(0, request.size() - kBodyBytes / 2));
  Settle();
  m_fixture->m_gateway->BeginStop();
  RunUntilRefusing();
  CHECK_FALSE(caller->IsClosed());
  caller->Send(request.substr(request.size() - kBodyBytes / 2));
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckIsRefusedForTheStop(caller->Received());
  CHECK_EQUAL(0U, m_plain->Requests().size());
}

TEST(StoppingGateway, AKeptConnectionIsServedAndThenClosedUnread)
{
  Start();
  m_plain->SetScript(AnswerOk);
  const auto idle = Send("POST", "/unsafe/x");
  CHECK(m_fixture->RunUntil([&] { return StatusOf(idle->Received()) == 200; }));
  const std::string before = idle->Received();
  m_fixture->m_gateway->BeginStop();
  CHECK(m_fixture->RunUntil([&] { return idle->IsClosed(); }));
  STRCMP_EQUAL(before.c_str(), idle->Received().c_str());
}

TEST(StoppingGateway, AGraceShorterThanTheTimeOfTurningAwayIsKept)
{
  m_fixture->m_options.m_drainGrace = std::chrono::seconds(60);
  Start();
  const auto caller = Send("POST", "/unsafe/x");
  RunUntilAsked(*m_plain);
  const TimePoint begunAt = BootClock::now();
  m_fixture->m_gateway->BeginStop();
  RunUntilRefusing();
  CHECK(BootClock::now() - begunAt < m_fixture->m_options.m_stopGrace);
  RunUntilStopped(*m_fixture->m_gateway);
  CHECK_EQUAL(504, StatusOf(caller->Received()));
}
