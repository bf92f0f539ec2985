// Tests of answers that have neither a length nor chunks and end with their
// connection.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// More than the sockets of a connection hold.
constexpr std::size_t kLongBodyBytes = 8UL * 1024 * 1024;

// Returns a head without Content-Length and Transfer-Encoding.
std::string
MakeOpenHead(const HttpRequest& aRequest)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
         "\r\nResponse-Signature: s1\r\n\r\n";
}

std::string
MakePlainEvent(int aId)
{
  const std::string id = std::to_string(aId);
  return "id: " + id + "\ndata: x" + id + "\n\n";
}

std::string
MakePlainEvents(int aLast)
{
  std::string events;
  for (int id = 1; id <= aLast; ++id) {
    events += MakePlainEvent(id);
  }
  return events;
}

} // namespace

// clang-format off
TEST_GROUP(AnswerEnd)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_endpoints;
  int m_calls = 0;

  void teardown() override
  {
    m_caller.reset();
    m_fixture.reset();
  }

  // Starts two endpoints. The first request is answered by aFirst after the
  // head, later requests by aLater.
  void Start(bool aIsStream,
             const std::vector<StubStep>& aFirst,
             const StubEndpoint::Script& aLater)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < 2; ++i) {
      StubEndpoint& endpoint = aIsStream ? m_fixture->AddEngine(0, 4)
                                         : m_fixture->AddPlainEndpoint();
      endpoint.SetScript(
        WithEngineState([this, aFirst, aLater](const HttpRequest& aRequest) {
          if (++m_calls != 1) {
            return aLater(aRequest);
          }
          std::vector<StubStep> steps{ Send(MakeOpenHead(aRequest)) };
          steps.insert(steps.end(), aFirst.begin(), aFirst.end());
          return steps;
        }));
      m_endpoints.push_back(&endpoint);
    }
    m_fixture->Start();
  }
  // Lets the endpoints answer before they read a body, which is so long that
  // the gateway is still sending it then.
  void StartBeforeBody(bool aIsStream, const std::vector<StubStep>& aFirst)
  {
    m_fixture->m_maxBodyBytes = kLongBodyBytes;
    Start(aIsStream, aFirst, AnswerOk);
    for (StubEndpoint* endpoint : m_endpoints) {
      endpoint->AnswerBeforeBody();
    }
  }
  // Bytes are known to have arrived before the reset: a reset discards bytes
  // that the receiver has not read.
  StubStep AwaitEvents(int aCount)
  {
    return Await([this, aCount] {
      return m_caller &&
             EventsOf(m_caller->Received()).size() ==
               static_cast<std::size_t>(aCount);
    });
  }
  std::string AskStream(const std::string& aPath,
                        const std::string& aBody = "prompt")
  {
    m_caller = m_fixture->Connect();
    m_caller->Send(MakeRequest(
      "POST", aPath, kStreamHeader + "Connection: close\r\n", aBody));
    return m_fixture->RunUntil([this] { return m_caller->IsClosed(); })
             ? m_caller->Received()
             : "no answer";
  }
  static std::vector<StubStep> AnswerOk(const HttpRequest& aRequest)
  {
    return { Send(MakeAnswer(AttemptIdOf(aRequest), 200, "second")) };
  }
  // Refuses after the first endpoint has closed its connection.
  static std::vector<StubStep> RefuseLater(const HttpRequest& aRequest)
  {
    return { Pause(std::chrono::milliseconds(100)),
             Send(MakeAnswer(
               AttemptIdOf(aRequest), 503, "", "Not-Executed: 1\r\n")) };
  }

  std::unique_ptr<ForwardFixture::Caller> m_caller;
};
// clang-format on

TEST(AnswerEnd, AnAnswerThatEndsWithItsConnectionInOrderIsComplete)
{
  Start(false, { Send("whole "), Send("body"), CloseNow() }, AnswerOk);
  for (const char* path : { "/safe/x", "/unsafe/x" }) {
    m_calls = 0;
    const std::string answer = m_fixture->SendRequest("POST", path, "", "b");
    CHECK_EQUAL(200, StatusOf(answer));
    CHECK(answer.find("Content-Length: 10\r\n") != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\nwhole body"));
    CHECK_EQUAL(1, m_calls);
  }
}

TEST(AnswerEnd, AnAnswerThatIsResetIsNotCompleteAndASafeRequestGoesElsewhere)
{
  Start(false, { Send("whole "), ResetNow() }, AnswerOk);
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\nsecond"));
  CHECK_EQUAL(2, m_calls);
}

TEST(AnswerEnd, AnAnswerThatIsResetIsNotCompleteAndAnUnsafeRequestFails)
{
  Start(false, { Send("whole "), ResetNow() }, AnswerOk);
  const std::string answer =
    m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
  CHECK_EQUAL(502, StatusOf(answer));
  CHECK(answer.find("whole") == std::string::npos);
  CHECK_EQUAL(1, m_calls);
}

TEST(AnswerEnd, AnAnswerThatIsResetWhileTheRequestIsSentIsNotComplete)
{
  StartBeforeBody(false, { Send("part"), ResetNow() });
  const std::string answer = m_fixture->SendRequest(
    "POST", "/unsafe/x", "", std::string(kLongBodyBytes, 'b'));
  CHECK_EQUAL(502, StatusOf(answer));
  CHECK_EQUAL(1, m_calls);
}

TEST(AnswerEnd, AStreamThatIsResetWhileTheRequestIsSentDoesNotLookComplete)
{
  StartBeforeBody(true,
                  { Send(MakePlainEvents(3)), AwaitEvents(3), ResetNow() });
  const std::string answer =
    AskStream("/once/x", std::string(kLongBodyBytes, 'b'));
  CHECK_FALSE(IsComplete(answer));
  CHECK_EQUAL(1, m_calls);
}

TEST(AnswerEnd, AnAnswerThatEndsInOrderWhileTheRequestIsSentIsComplete)
{
  StartBeforeBody(false, { Send("whole body"), EndNow() });
  const std::string answer = m_fixture->SendRequest(
    "POST", "/unsafe/x", "", std::string(kLongBodyBytes, 'b'));
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\nwhole body"));
}

TEST(AnswerEnd, AConnectionThatEndsAnAnswerIsNotUsedAgain)
{
  Start(false, { Send("whole body"), CloseNow() }, AnswerOk);
  m_endpoints[1]->Stop();
  m_fixture->SendRequest("GET", "/safe/x");
  m_fixture->SendRequest("GET", "/safe/x");
  m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(3, m_calls);
  CHECK_EQUAL(2, m_endpoints[0]->Connections());
}

TEST(AnswerEnd, AStreamThatEndsWithItsConnectionInOrderIsComplete)
{
  Start(true, { Send(MakePlainEvents(5)), CloseNow() }, StreamAll);
  for (const char* path : { "/stream/x", "/once/x" }) {
    m_calls = 0;
    CheckAllEventsOnce(AskStream(path));
    CHECK_EQUAL(1, m_calls);
  }
}

TEST(AnswerEnd, AStreamThatIsResetAfterAWholeEventIsResumed)
{
  Start(
    true, { Send(MakePlainEvents(3)), AwaitEvents(3), ResetNow() }, StreamAll);
  CheckAllEventsOnce(AskStream("/stream/x"));
  CHECK_EQUAL(2, m_calls);
}

TEST(AnswerEnd, AStreamThatIsResetAfterAWholeEventDoesNotLookComplete)
{
  Start(
    true, { Send(MakePlainEvents(3)), AwaitEvents(3), ResetNow() }, StreamAll);
  const std::string answer = AskStream("/once/x");
  const std::vector<int> expected{ 1, 2, 3 };
  CHECK(EventsOf(answer) == expected);
  CHECK_FALSE(IsComplete(answer));
  CHECK_EQUAL(1, m_calls);
  CHECK(m_fixture->m_sink.Has({ "request_cut", "\"why\":\"broken\"" }));
}

TEST(AnswerEnd, AStreamThatEndsInsideAnEventIsResumed)
{
  Start(true,
        { Send(MakePlainEvents(3) + "id: 4\ndata: x"), CloseNow() },
        StreamAll);
  CheckAllEventsOnce(AskStream("/stream/x"));
  CHECK_EQUAL(2, m_calls);
}

TEST(AnswerEnd, AStreamThatEndsInsideAnEventDoesNotLookComplete)
{
  Start(true,
        { Send(MakePlainEvents(3) + "id: 4\ndata: x"), CloseNow() },
        StreamAll);
  const std::string answer = AskStream("/once/x");
  const std::vector<int> expected{ 1, 2, 3 };
  CHECK(EventsOf(answer) == expected);
  CHECK_FALSE(IsComplete(answer));
  CHECK_EQUAL(1, m_calls);
}

// The connection is closed while another endpoint is asked because of the
// silence.
TEST(AnswerEnd, ASilentAnswerThatEndsInOrderIsCompleteThoughOthersRefuse)
{
  Start(
    false,
    { Send("whole body"), Await([this] { return m_calls == 2; }), CloseNow() },
    RefuseLater);
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\nwhole body"));
}

TEST(AnswerEnd, ASilentStreamThatEndsInOrderIsCompleteThoughOthersRefuse)
{
  Start(true,
        { Send(MakePlainEvents(5)),
          Await([this] { return m_calls > 1; }),
          CloseNow() },
        RefuseLater);
  CheckAllEventsOnce(AskStream("/stream/x"));
}

TEST(AnswerEnd, ASilentStreamThatEndsInsideAnEventLeavesItsSuccessorAlone)
{
  Start(true,
        { Send(MakePlainEvents(3) + "id: 4\ndata: x"),
          Await([this] { return m_calls > 1; }),
          CloseNow() },
        [](const HttpRequest& aRequest) {
          std::vector<StubStep> steps = StreamAll(aRequest);
          steps.insert(steps.begin(), Pause(std::chrono::milliseconds(100)));
          return steps;
        });
  CheckAllEventsOnce(AskStream("/stream/x"));
  CHECK_EQUAL(2, m_calls);
}
