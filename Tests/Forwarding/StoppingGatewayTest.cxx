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
  // that never answers either.
  void Start()
  {
    m_fixture->PutConfig();
    m_plain = &m_fixture->AddPlainEndpoint();
    m_plain->SetScript(NeverAnswer);
    m_engine = &m_fixture->AddEngine(0, 4);
    m_engine->SetScript(WithEngineState(NeverAnswer));
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
