// Tests of requests that are answered with one complete body, over real
// connections. They guard against requests that are executed twice, answers
// that reach the wrong caller, and truncated answers that look complete.
#include "Forwarding/ForwardFixture.h"

// Included last, since its leak detection macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

std::vector<StubStep>
AnswerOk(const HttpRequest& aRequest)
{
  return { Send(MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
}

std::vector<StubStep>
AnswerNotExecuted(const HttpRequest& aRequest)
{
  return { Send(
    MakeAnswer(AttemptIdOf(aRequest), 503, "", "Not-Executed: 1\r\n")) };
}

std::vector<StubStep>
CloseWithoutAnswer(const HttpRequest& /*aRequest*/)
{
  return { CloseNow() };
}

} // namespace

// clang-format off
TEST_GROUP(PlainForward)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();

  void teardown() override { m_fixture.reset(); }

  // Starts the gateway with two endpoints that run the same script.
  void StartTwo(const StubEndpoint::Script& aScript)
  {
    m_fixture->PutConfig();
    m_one = &m_fixture->AddPlainEndpoint();
    m_two = &m_fixture->AddPlainEndpoint();
    m_one->SetScript(aScript);
    m_two->SetScript(aScript);
    m_fixture->Start();
  }
  std::size_t RequestCount() const
  {
    return m_one->Requests().size() + m_two->Requests().size();
  }

  StubEndpoint* m_one = nullptr;
  StubEndpoint* m_two = nullptr;
};
// clang-format on

TEST(PlainForward, PassesRequestAndAnswerOnUnchanged)
{
  StartTwo(AnswerOk);
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x?q=1", "X-Own: 7\r\n", "body");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\ndone"));
  CHECK(answer.find("Response-Signature: s1") != std::string::npos);
  const HttpRequest& sent =
    m_one->Requests().empty() ? m_two->Requests()[0] : m_one->Requests()[0];
  CHECK(sent.target() == "/unsafe/x?q=1");
  CHECK(sent.body() == "body");
  CHECK(sent["X-Own"] == "7");
  CHECK(sent["Tenant"] == "account-1");
  CHECK(sent["Authorization"].empty());
  CHECK(!sent["Expect-Instance"].empty());
  CHECK(std::stoi(std::string(sent["Deadline-Ms"])) <= 1000);
}

TEST(PlainForward, AnUnsafeRequestThatMayHaveRunIsNeverSentAgain)
{
  StartTwo(CloseWithoutAnswer);
  CHECK_EQUAL(502,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
  CHECK_EQUAL(1U, RequestCount());
  CHECK_FALSE(m_fixture->m_sink.Has({ "request_sent_again" }));
  CHECK_EQUAL(0, m_fixture->MetricOf("parsleycove_repeats_total"));
  CHECK(m_fixture->m_sink.Has(
    { "request_failed", "\"status\":502", "\"last_fault\":\"broken\"" }));
}

TEST(PlainForward, AnUnsafeRequestThatDidNotRunIsSentAgain)
{
  m_fixture->PutConfig();
  m_one = &m_fixture->AddPlainEndpoint();
  m_two = &m_fixture->AddPlainEndpoint();
  int calls = 0;
  const auto script = [&](const HttpRequest& aRequest) {
    return ++calls == 1 ? AnswerNotExecuted(aRequest) : AnswerOk(aRequest);
  };
  m_one->SetScript(script);
  m_two->SetScript(script);
  m_fixture->Start();
  CHECK_EQUAL(200,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
  CHECK_EQUAL(2U, RequestCount());
  CHECK(m_fixture->m_sink.Has(
    { "request_sent_again", "\"id\":\"a1\"", "endpoint_refused" }));
  CHECK_EQUAL(1, m_fixture->MetricOf("parsleycove_repeats_total"));
}

TEST(PlainForward, WhenNobodyRanItTheCallerIsToldAndWhenToComeBack)
{
  StartTwo(AnswerNotExecuted);
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK(answer.find("Retry-After: 0.") != std::string::npos);
  CHECK(m_fixture->m_sink.Has({ "request_refused",
                                "endpoints_refuse",
                                "\"last_fault\":\"endpoint_refused\"" }));
}

TEST(PlainForward, APromiseOfAnEndpointThatMayHaveRunItIsNotPassedOn)
{
  StartTwo([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 503, "")) };
  });
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
  CHECK_EQUAL(502, StatusOf(answer));
  CHECK(answer.find("Response-Signature") == std::string::npos);
}

TEST(PlainForward, ASafeRequestGoesElsewhereAfterAnyFailure)
{
  m_fixture->PutConfig();
  m_one = &m_fixture->AddPlainEndpoint();
  m_two = &m_fixture->AddPlainEndpoint();
  int calls = 0;
  const auto script = [&](const HttpRequest& aRequest) {
    return ++calls == 1 ? CloseWithoutAnswer(aRequest) : AnswerOk(aRequest);
  };
  m_one->SetScript(script);
  m_two->SetScript(script);
  m_fixture->Start();
  CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
}

TEST(PlainForward, ASilentEndpointOfASafeRequestIsLeft)
{
  m_fixture->PutConfig();
  m_one = &m_fixture->AddPlainEndpoint();
  m_two = &m_fixture->AddPlainEndpoint();
  int calls = 0;
  const auto script = [&](const HttpRequest& aRequest) {
    return ++calls == 1 ? std::vector<StubStep>{ Hang() } : AnswerOk(aRequest);
  };
  m_one->SetScript(script);
  m_two->SetScript(script);
  m_fixture->Start();
  CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
  CHECK(m_fixture->m_sink.Has({ "endpoint_suspected", "\"overdue\"" }));
}

TEST(PlainForward, AnAnswerToAnotherRequestIsNeverDelivered)
{
  StartTwo([](const HttpRequest&) {
    return std::vector<StubStep>{ Send(MakeAnswer("other", 200, "theirs")),
                                  CloseNow() };
  });
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
  CHECK_EQUAL(502, StatusOf(answer));
  CHECK(answer.find("theirs") == std::string::npos);
}

TEST(PlainForward, ALateAnswerBeforeTheOwnOneIsPassedOver)
{
  StartTwo([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer("other", 200, "theirs") +
      MakeAnswer(AttemptIdOf(aRequest), 200, "mine")) };
  });
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("mine"));
}

TEST(PlainForward, AConnectionWithBytesLeftOverIsNotUsedAgain)
{
  StartTwo([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 200, "mine") + "HTTP/1.1 200 OK\r\n") };
  });
  CHECK_EQUAL(200,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
  CHECK_EQUAL(200,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
  CHECK_EQUAL(2, m_one->Connections() + m_two->Connections());
}

TEST(PlainForward, ATruncatedAnswerIsNoAnswer)
{
  StartTwo([](const HttpRequest& aRequest) {
    std::string answer = MakeAnswer(AttemptIdOf(aRequest), 200, "whole body");
    answer.resize(answer.size() - 4);
    return std::vector<StubStep>{ Send(answer), CloseNow() };
  });
  CHECK_EQUAL(502,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
}

TEST(PlainForward, AnAnswerMayBeLargerThanARequest)
{
  const std::string body(100000, 'a');
  StartTwo([&](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 200, body)) };
  });
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\n" + body));
}

TEST(PlainForward, BytesThatAreNoAnswerAreContained)
{
  StartTwo([](const HttpRequest&) {
    return std::vector<StubStep>{ Send("garbage garbage\r\n\r\n"), Hang() };
  });
  CHECK_EQUAL(502,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
}

TEST(PlainForward, AKeptConnectionServesTheNextRequest)
{
  StartTwo(AnswerOk);
  m_two->Stop();
  for (int i = 0; i < 6; ++i) {
    m_fixture->SendRequest("GET", "/safe/x");
  }
  CHECK_EQUAL(1, m_one->Connections());
}

TEST(PlainForward, ACallerWhoLeavesEndsTheCall)
{
  StartTwo([](const HttpRequest&) { return std::vector<StubStep>{ Hang() }; });
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest("POST", "/unsafe/x", "", "b"));
  CHECK(m_fixture->RunUntil([&] { return RequestCount() == 1; }));
  caller->Close();
  CHECK(m_fixture->RunUntil(
    [&] { return m_one->Abandoned() + m_two->Abandoned() == 1; }));
}

TEST(PlainForward, TheRoutesTimeoutEndsTheWait)
{
  StartTwo([](const HttpRequest&) { return std::vector<StubStep>{ Hang() }; });
  CHECK_EQUAL(504,
              StatusOf(m_fixture->SendRequest("POST", "/unsafe/x", "", "b")));
}

TEST(PlainForward, ARequestWithoutARouteOrAKeyIsToldSo)
{
  StartTwo(AnswerOk);
  CHECK_EQUAL(404, StatusOf(m_fixture->SendRequest("GET", "/none/x")));
  const auto caller = m_fixture->Connect();
  caller->Send("GET /safe/x HTTP/1.1\r\nHost: one.example\r\n"
               "Authorization: Bearer other\r\nConnection: close\r\n\r\n");
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CHECK_EQUAL(401, StatusOf(caller->Received()));
  CHECK_EQUAL(0U, RequestCount());
}

// Load pattern: the feed of this VM broke just before a version of the
// configuration was accepted. The VM still has its lease, but its view does not
// show whether a missing key was added meanwhile.
TEST(PlainForward, AnOlderCopyDeniesNoKeyThatWasAdded)
{
  StartTwo(AnswerOk);
  m_fixture->m_control.SetConfirm([this] {
    m_fixture->PutConfig(2, R"({"name":"account-2","api-keys":["other"]})");
    return true;
  });
  const auto caller = m_fixture->Connect();
  caller->Send("GET /safe/x HTTP/1.1\r\nHost: one.example\r\n"
               "Attempt-Id: a1\r\nAuthorization: Bearer other\r\n"
               "Connection: close\r\n\r\n");
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CHECK_EQUAL(200, StatusOf(caller->Received()));
}

TEST(PlainForward, NothingIsDeniedWhileNoQuorumAnswers)
{
  StartTwo(AnswerOk);
  m_fixture->m_control.SetConfirm([] { return false; });
  const std::string answer = m_fixture->SendRequest("GET", "/none/x");
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(m_fixture->m_sink.Has({ "request_refused", "no_lease" }));
  CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
}

TEST(PlainForward, WithoutALeaseAKeyIsNotTrusted)
{
  StartTwo(AnswerOk);
  m_fixture->m_control.SetLease(false);
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK_EQUAL(0U, RequestCount());
  CHECK(m_fixture->m_sink.Has({ "request_refused", "no_lease" }));
}

TEST(PlainForward, ACopyThatComesSoonIsWaitedFor)
{
  m_one = &m_fixture->AddPlainEndpoint();
  m_two = &m_fixture->AddPlainEndpoint();
  m_one->SetScript(AnswerOk);
  m_two->SetScript(AnswerOk);
  m_fixture->Start();
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest("POST", "/unsafe/x", "Connection: close\r\n", "b"));
  m_fixture->RunUntil([polls = 0]() mutable { return ++polls > 5; });
  m_fixture->PutConfig();
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CHECK_EQUAL(200, StatusOf(caller->Received()));
}

TEST(PlainForward, LimitsOfTheConfigurationHold)
{
  StartTwo(AnswerOk);
  CHECK_EQUAL(413,
              StatusOf(m_fixture->SendRequest(
                "POST", "/unsafe/x", "", std::string(5000, 'b'))));
  CHECK_EQUAL(
    431,
    StatusOf(m_fixture->SendRequest(
      "GET", "/safe/x", "X-Long: " + std::string(3000, 'h') + "\r\n")));
  CHECK_EQUAL(0U, RequestCount());
}

TEST(PlainForward, AStoppingGatewayFinishesWhatItHasAndRefusesTheRest)
{
  StartTwo([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Pause(std::chrono::milliseconds(300)),
                                  Send(MakeAnswer(
                                    AttemptIdOf(aRequest), 200, "done")) };
  });
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest("POST", "/unsafe/x", "", "b"));
  CHECK(m_fixture->RunUntil([&] { return RequestCount() == 1; }));
  m_fixture->m_gateway->BeginStop();
  CHECK_FALSE(m_fixture->m_gateway->IsReady(BootClock::now()));
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CHECK_EQUAL(200, StatusOf(caller->Received()));
  CHECK(caller->Received().find("Connection: close") != std::string::npos);
  CHECK(m_fixture->RunUntil(
    [&] { return m_fixture->m_gateway->IsStopped(BootClock::now()); }));
  CHECK_EQUAL(503, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
}
