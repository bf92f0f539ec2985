// Tests that endpoints which leave or ask for a pause get no more requests,
// over real connections. The cases replay a release under load and an
// overloaded service.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const std::string kLeaving = "Server-Leaving: 1\r\n";

StubEndpoint::Script
AnswerWith(unsigned aStatus, const std::string& aHeaders)
{
  return [aStatus, aHeaders](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), aStatus, "done", aHeaders)) };
  };
}

StubEndpoint::Script
RefuseFor(const std::string& aSeconds)
{
  return AnswerWith(503,
                    "Not-Executed: 1\r\nRetry-After: " + aSeconds + "\r\n");
}

} // namespace

// clang-format off
TEST_GROUP(NoticeForward)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  StubEndpoint* m_one = nullptr;
  StubEndpoint* m_two = nullptr;

  void teardown() override { m_fixture.reset(); }

  void StartPlain(const StubEndpoint::Script& aOne,
                  const StubEndpoint::Script& aTwo)
  {
    m_fixture->PutConfig();
    m_one = &m_fixture->AddPlainEndpoint();
    m_two = &m_fixture->AddPlainEndpoint();
    m_one->SetScript(aOne);
    m_two->SetScript(aTwo);
    m_fixture->Start();
  }
  void StartEngines(const StubEndpoint::Script& aOne,
                    const StubEndpoint::Script& aTwo)
  {
    m_fixture->PutConfig();
    m_one = &m_fixture->AddEngine(0, 4);
    m_two = &m_fixture->AddEngine(0, 4);
    m_one->SetScript(WithEngineState(aOne));
    m_two->SetScript(WithEngineState(aTwo));
    m_fixture->Start();
  }
  int StatusOfCall(const std::string& aPath = "/safe/x")
  {
    return StatusOf(m_fixture->SendRequest("GET", aPath));
  }
  std::string Stream()
  {
    return m_fixture->SendRequest(
      "POST", "/stream/x", kStreamHeader, "prompt");
  }
};
// clang-format on

TEST(NoticeForward, AnAnswerOfALeavingEndpointIsItsLast)
{
  StartPlain(AnswerWith(200, kLeaving), AnswerWith(200, ""));
  for (int i = 0; i < 30; ++i) {
    CHECK_EQUAL(200, StatusOfCall());
  }
  CHECK(AttemptsAt(*m_one) <= 1);
  CHECK(AttemptsAt(*m_two) >= 29);
  if (AttemptsAt(*m_one) == 1) {
    CHECK(m_fixture->m_sink.Has(
      { "endpoint_leaving", m_fixture->IdOf(*m_one), "\"id\":\"a1\"" }));
    CHECK_EQUAL(1, m_fixture->MetricOf("parsleycove_endpoint_leaving_total"));
  }
}

TEST(NoticeForward, WithoutAnotherEndpointTheCallerIsToldAtOnce)
{
  StartPlain(AnswerWith(200, kLeaving), AnswerWith(200, kLeaving));
  CHECK_EQUAL(200, StatusOfCall());
  CHECK_EQUAL(200, StatusOfCall());
  CHECK_EQUAL(503, StatusOfCall());
  CHECK_EQUAL(2U, AttemptsAt(*m_one) + AttemptsAt(*m_two));
  CHECK(m_fixture->m_sink.Has({ "request_refused", "no_endpoint" }));
}

TEST(NoticeForward, ANewAnnouncementOfTheSameStartChangesNothing)
{
  StartPlain(AnswerWith(200, kLeaving), AnswerWith(200, kLeaving));
  StatusOfCall();
  StatusOfCall();
  m_fixture->AnnounceAgain(*m_one);
  m_fixture->AnnounceAgain(*m_two);
  CHECK_EQUAL(503, StatusOfCall());
}

TEST(NoticeForward, AMisdirectedAnswerIsNotTheEndpointsOwn)
{
  StartPlain(AnswerWith(421, kLeaving), AnswerWith(200, ""));
  for (int i = 0; i < 20; ++i) {
    CHECK_EQUAL(200, StatusOfCall());
  }
  CHECK_FALSE(m_fixture->m_sink.Has({ "endpoint_leaving" }));
}

TEST(NoticeForward, AReadyAnswerIsDeliveredWhereNobodyElseTakesNewWork)
{
  StartPlain(AnswerWith(200, kLeaving), AnswerWith(500, ""));
  // The first answer of the endpoint that leaves takes it out of use.
  while (AttemptsAt(*m_one) == 0) {
    m_fixture->SendRequest("GET", "/unsafe/x");
  }
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(500, StatusOf(answer));
  CHECK(answer.find("Response-Signature") != std::string::npos);
  CHECK_EQUAL(1U, AttemptsAt(*m_one));
}

TEST(NoticeForward, AMisdirectedStreamSaysNothingOfTheEngineThatWasCalled)
{
  int calls = 0;
  m_fixture->PutConfig();
  m_one = &m_fixture->AddEngine(0, 4);
  m_one->SetScript(WithEngineState([&](const HttpRequest& aRequest) {
    if (++calls > 1) {
      return StreamAll(aRequest);
    }
    // Another runner has the address and names itself as the one at fault.
    return std::vector<StubStep>{ Send(MakeAnswer(
      AttemptIdOf(aRequest),
      421,
      "",
      kLeaving + "At-Server: 127.0.0.1:" + std::to_string(m_one->Port()) +
        "\r\n")) };
  }));
  m_fixture->Start();
  CheckAllEventsOnce(Stream());
  CHECK_EQUAL(2, calls);
  CHECK_FALSE(m_fixture->m_sink.Has({ "endpoint_leaving" }));
}

TEST(NoticeForward, AStreamOfALeavingEngineRunsToItsEnd)
{
  const auto leave = [](const HttpRequest& aRequest) {
    std::vector<StubStep> steps = StreamAll(aRequest);
    steps.front() =
      Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
           "\r\nResponse-Signature: s1\r\n" + kLeaving +
           "Transfer-Encoding: chunked\r\n\r\n");
    return steps;
  };
  StartEngines(leave, leave);
  CheckAllEventsOnce(Stream());
  CheckAllEventsOnce(Stream());
  CHECK_EQUAL(1U, AttemptsAt(*m_one));
  CHECK_EQUAL(1U, AttemptsAt(*m_two));
  CHECK_EQUAL(503, StatusOf(Stream()));
  CHECK_EQUAL(2U, AttemptsAt(*m_one) + AttemptsAt(*m_two));
}

TEST(NoticeForward, ARefusalWithAPauseIsTheLastRequestUntilItsEnd)
{
  StartPlain(RefuseFor("600"), AnswerWith(200, ""));
  for (int i = 0; i < 30; ++i) {
    CHECK_EQUAL(200, StatusOfCall("/unsafe/x"));
  }
  CHECK(AttemptsAt(*m_one) <= 1);
}

// Failure: the endpoint was cut off from the control VMs during its pause, and
// got its share of the requests once it was listed again.
TEST(NoticeForward, APauseOutlastsAGapInTheList)
{
  StartPlain(RefuseFor("600"), AnswerWith(200, ""));
  while (AttemptsAt(*m_one) == 0) {
    CHECK_EQUAL(200, StatusOfCall());
  }
  m_fixture->DropFromList(*m_one);
  CHECK_EQUAL(200, StatusOfCall());
  m_fixture->ListAgain(*m_one);
  for (int i = 0; i < 30; ++i) {
    CHECK_EQUAL(200, StatusOfCall());
  }
  CHECK_EQUAL(1U, AttemptsAt(*m_one));
}

// An engine is used again only after a probe, which is due once it is listed.
TEST(NoticeForward, AnEngineWithAnOpenCircuitServesAgainAfterAGapInTheList)
{
  bool isBroken = true;
  const StubEndpoint::Script sound = WithEngineState(StreamAll);
  const StubEndpoint::Script broken = [](const HttpRequest& aRequest) {
    const std::string id = AttemptIdOf(aRequest);
    return std::vector<StubStep>{ id.empty() ? Send(MakeAnswer(id, 500, ""))
                                             : CloseNow() };
  };
  m_fixture->PutConfig();
  m_one = &m_fixture->AddEngine(0, 4);
  m_one->SetScript([&](const HttpRequest& aRequest) {
    return isBroken ? broken(aRequest) : sound(aRequest);
  });
  m_fixture->Start();
  CHECK(m_fixture->RunUntil([&] {
    Stream();
    return m_fixture->m_sink.Has({ "endpoint_suspected" });
  }));
  m_fixture->DropFromList(*m_one);
  CHECK_EQUAL(503, StatusOf(Stream()));
  isBroken = false;
  m_fixture->ListAgain(*m_one);
  CHECK(m_fixture->RunUntil([&] { return StatusOf(Stream()) == 200; }));
}

// A new start of the endpoint has asked for nothing yet.
TEST(NoticeForward, APauseEndsWithTheStartThatAskedForIt)
{
  StartPlain(RefuseFor("600"), RefuseFor("600"));
  StatusOfCall();
  CHECK_EQUAL(503, StatusOfCall());
  m_one->SetScript(AnswerWith(200, ""));
  m_fixture->AnnounceNewStart(m_fixture->IdOf(*m_one));
  CHECK_EQUAL(200, StatusOfCall());
}

TEST(NoticeForward, ManyRequestsAtOnceReachAPausedEndpointNoMoreAfterIt)
{
  StartPlain(RefuseFor("600"), RefuseFor("600"));
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < 12; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(MakeRequest("GET", "/safe/x"));
  }
  CHECK(m_fixture->RunUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& aCaller) {
      return aCaller->Received().find("\r\n\r\n") != std::string::npos;
    });
  }));
  const std::size_t before = AttemptsAt(*m_one) + AttemptsAt(*m_two);
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(503, StatusOfCall());
  }
  CHECK_EQUAL(before, AttemptsAt(*m_one) + AttemptsAt(*m_two));
}

TEST(NoticeForward, TheCallerIsToldTheFirstEndOfThePauses)
{
  StartPlain(RefuseFor("400.5"), RefuseFor("550"));
  std::string answer;
  for (int i = 0; i < 3; ++i) {
    answer = m_fixture->SendRequest("GET", "/safe/x");
    CHECK_EQUAL(503, StatusOf(answer));
  }
  CHECK(RetryAfterOf(answer) > 300);
  CHECK(RetryAfterOf(answer) < 401);
  CHECK(m_fixture->m_sink.Has({ "request_refused", "endpoints_paused" }));
  CHECK(m_fixture->m_sink.Has({ "endpoint_paused", "\"pause_ms\":400500" }));
  CHECK_EQUAL(2, m_fixture->MetricOf("parsleycove_endpoint_paused_total"));
}

TEST(NoticeForward, AStreamWaitsForNoPauseThatIsLongerThanItsWait)
{
  StartEngines(RefuseFor("500"), RefuseFor("500"));
  const std::string answer = Stream();
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK(RetryAfterOf(answer) > 400);
  CHECK_EQUAL(1U, AttemptsAt(*m_one));
  CHECK_EQUAL(1U, AttemptsAt(*m_two));
  CHECK_EQUAL(503, StatusOf(Stream()));
  CHECK_EQUAL(2U, AttemptsAt(*m_one) + AttemptsAt(*m_two));
  CHECK(m_fixture->m_sink.Has({ "request_refused", "endpoints_paused" }));
}

TEST(NoticeForward, AnUnreadablePauseIsLoggedOnceAndTheAnswerGoesOn)
{
  const std::string bad = "Retry-After: " + std::string(10'000, '9') + "\r\n" +
                          "Server-Leaving: maybe\r\n";
  StartPlain(AnswerWith(200, bad), AnswerWith(200, bad));
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(200, StatusOfCall());
  }
  CHECK_EQUAL(0, m_fixture->MetricOf("parsleycove_endpoint_leaving_total"));
}
