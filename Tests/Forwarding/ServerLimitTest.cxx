// Tests that an endpoint which names a limit gets no more requests than that
// from all gateways together, over real connections. The cases replay an engine
// that can do half of its usual work while callers press on.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr double kLimitPerSecond = 2;
const std::string kLimit = "Server-Limit: 2.0\r\n";
// Many more than what the limit allows in the time that they take.
constexpr int kRequests = 60;

StubEndpoint::Script
AnswerWithLimit(const std::string& aLimit)
{
  return [aLimit](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 200, "done", aLimit)) };
  };
}

StubEndpoint::Script
StreamWithLimit(const std::string& aLimit)
{
  return WithEngineState([aLimit](const HttpRequest& aRequest) {
    std::vector<StubStep> steps = StreamAll(aRequest);
    steps.front() =
      Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
           "\r\nResponse-Signature: s1\r\n" + aLimit +
           "Transfer-Encoding: chunked\r\n\r\n");
    return steps;
  });
}

} // namespace

// clang-format off
TEST_GROUP(ServerLimit)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  StubEndpoint* m_one = nullptr;
  StubEndpoint* m_two = nullptr;
  TimePoint m_startedAt{};

  void setup() override { m_fixture->PutConfig(); }
  void teardown() override { m_fixture.reset(); }

  void Start()
  {
    m_fixture->Start();
    m_startedAt = BootClock::now();
  }
  // Most requests that the endpoint may have got by now. The rule allows more:
  // one and a half times the limit, and 5 requests.
  std::size_t MostAllowed() const
  {
    const double seconds =
      std::chrono::duration<double>(BootClock::now() - m_startedAt).count();
    return static_cast<std::size_t>(kLimitPerSecond * (seconds * 1.5) + 5);
  }
  std::string Stream(std::uint16_t aPort = 0)
  {
    return m_fixture->SendRequest(
      "POST", "/stream/x", kStreamHeader, "prompt", aPort);
  }
};
// clang-format on

TEST(ServerLimit, APlainEndpointGetsNoMoreThanItNamed)
{
  m_one = &m_fixture->AddPlainEndpoint();
  m_one->SetScript(AnswerWithLimit(kLimit));
  Start();
  for (int i = 0; i < kRequests; ++i) {
    const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
    CHECK(StatusOf(answer) == 200 || StatusOf(answer) == 503);
  }
  CHECK_COMPARE(AttemptsAt(*m_one), <=, MostAllowed());
}

TEST(ServerLimit, AnEngineGetsNoMoreThanItNamed)
{
  m_one = &m_fixture->AddEngine(0, 4);
  m_one->SetScript(StreamWithLimit(kLimit));
  Start();
  for (int i = 0; i < kRequests; ++i) {
    const std::string answer = Stream();
    CHECK(StatusOf(answer) == 200 || StatusOf(answer) == 503);
  }
  CHECK_COMPARE(AttemptsAt(*m_one), <=, MostAllowed());
}

TEST(ServerLimit, WhatDoesNotFitGoesToAnotherEndpoint)
{
  m_one = &m_fixture->AddEngine(0, 4);
  m_two = &m_fixture->AddEngine(0, 4);
  m_one->SetScript(StreamWithLimit(kLimit));
  m_two->SetScript(WithEngineState(StreamAll));
  Start();
  for (int i = 0; i < kRequests; ++i) {
    CheckAllEventsOnce(Stream());
  }
  CHECK_COMPARE(AttemptsAt(*m_one), <=, MostAllowed());
  CHECK_COMPARE(AttemptsAt(*m_one) + AttemptsAt(*m_two), >=, std::size_t{ 60 });
}

TEST(ServerLimit, WhatFitsNowhereIsRefusedAtOnceWithTheTimeOfTheNextPlace)
{
  m_one = &m_fixture->AddPlainEndpoint();
  m_one->SetScript(AnswerWithLimit(kLimit));
  Start();
  std::string answer;
  TimePoint sentAt{};
  for (int i = 0; i < kRequests && StatusOf(answer) != 503; ++i) {
    sentAt = BootClock::now();
    answer = m_fixture->SendRequest("GET", "/unsafe/x");
  }
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK(BootClock::now() - sentAt < std::chrono::milliseconds(100));
  CHECK(m_fixture->m_sink.Has({ "request_refused", "endpoints_limited" }));
  const double wait = RetryAfterOf(answer);
  CHECK(wait > 0);
  CHECK(wait <= 1.25);
  const TimePoint returnsAt =
    BootClock::now() +
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  CHECK(m_fixture->RunUntil([&] { return BootClock::now() >= returnsAt; }));
  CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/unsafe/x")));
}

TEST(ServerLimit, AGatewayThatWasNotAnsweredKeepsToItToo)
{
  m_one = &m_fixture->AddEngine(0, 4);
  m_one->SetScript(StreamWithLimit(kLimit));
  Start();
  const std::uint16_t second = m_fixture->StartSecondGateway();
  Stream();
  for (int i = 0; i < kRequests; ++i) {
    Stream(second);
    Stream();
  }
  CHECK_COMPARE(AttemptsAt(*m_one), <=, MostAllowed());
}

TEST(ServerLimit, TheLimitEndsWithAnAnswerThatNamesNone)
{
  m_one = &m_fixture->AddPlainEndpoint();
  m_one->SetScript(AnswerWithLimit(kLimit));
  Start();
  int status = 200;
  for (int i = 0; i < kRequests && status == 200; ++i) {
    status = StatusOf(m_fixture->SendRequest("GET", "/safe/x"));
  }
  CHECK_EQUAL(503, status);
  m_one->SetScript(AnswerWithLimit(""));
  CHECK(m_fixture->RunUntil(
    [&] { return StatusOf(m_fixture->SendRequest("GET", "/safe/x")) == 200; }));
  for (int i = 0; i < kRequests; ++i) {
    CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
  }
  CHECK(m_fixture->RunUntil(
    [&] { return m_fixture->m_sink.Has({ "endpoint_limit_ended" }); }));
}

// Failure: the table forgets the limit of an endpoint that is not listed, and
// once the endpoint was listed again it got what callers sent until its first
// answer.
TEST(ServerLimit, ALimitOutlastsAGapInTheList)
{
  m_one = &m_fixture->AddPlainEndpoint();
  m_one->SetScript(AnswerWithLimit(kLimit));
  Start();
  int status = 200;
  for (int i = 0; i < kRequests && status == 200; ++i) {
    status = StatusOf(m_fixture->SendRequest("GET", "/safe/x"));
  }
  CHECK_EQUAL(503, status);
  const std::size_t before = AttemptsAt(*m_one);
  m_fixture->DropFromList(*m_one);
  CHECK_EQUAL(503, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
  // Any claim makes the table forget endpoints that are not listed.
  state::ClaimEndpointLimitsT claims;
  claims.gateway = "vm-2";
  state::CommandT command;
  command.body.Set(std::move(claims));
  m_fixture->m_control.Apply(command);
  CHECK(m_fixture->m_control.View()->Image().endpoint_limits.empty());
  m_fixture->ListAgain(*m_one);
  m_one->SetScript([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{
      Pause(std::chrono::milliseconds(200)),
      Send(MakeAnswer(AttemptIdOf(aRequest), 200, "done", kLimit))
    };
  });
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(MakeRequest("GET", "/unsafe/x"));
  }
  CHECK(m_fixture->RunUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& aCaller) {
      return aCaller->Received().find("\r\n\r\n") != std::string::npos;
    });
  }));
  CHECK_COMPARE(AttemptsAt(*m_one) - before, <=, MostAllowed());
  CHECK(m_fixture->RunUntil([&] {
    return m_fixture->m_control.View()->Image().endpoint_limits.size() == 1;
  }));
}

// Failure: an engine that names its limit only in answers to requests got as
// many as callers sent once it had answered a probe.
TEST(ServerLimit, AnAnswerToAProbeEndsNoLimitThatOnlyRequestsAreTold)
{
  m_one = &m_fixture->AddEngine(0, 4);
  m_one->SetScript(StreamWithLimit(kLimit));
  Start();
  Stream();
  const auto probes = [&] {
    return m_one->Requests().size() - AttemptsAt(*m_one);
  };
  const std::size_t before = probes();
  const auto hasEnded = [&] {
    return m_fixture->m_sink.Has({ "endpoint_limit_ended" });
  };
  CHECK(
    m_fixture->RunUntil([&] { return probes() >= before + 2 || hasEnded(); }));
  CHECK(m_fixture->m_sink.Has({ "endpoint_limited" }));
  CHECK_FALSE(hasEnded());
}
