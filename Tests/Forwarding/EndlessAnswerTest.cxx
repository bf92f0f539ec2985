// Tests of endpoints that send bytes without end in place of an answer.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// Returns aBytes repeated to about 4 KiB.
std::string
Repeat(const std::string& aBytes)
{
  std::string all;
  while (all.size() < 4096) {
    all += aBytes;
  }
  return all;
}

// Returns a head without its last line.
std::string
MakeOpenHead(const HttpRequest& aRequest, int aStatus = 200)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Any\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
         "\r\nResponse-Signature: s1\r\n";
}

std::string
MakeChunkedHead(const HttpRequest& aRequest)
{
  return MakeOpenHead(aRequest) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::vector<StubStep>
FloodStatusLine(const HttpRequest& /*aRequest*/)
{
  return { Send("HTTP/1.1 200 "), Flood(Repeat("x")) };
}

std::vector<StubStep>
FloodField(const HttpRequest& aRequest)
{
  return { Send(MakeOpenHead(aRequest) + "X-Long: "), Flood(Repeat("x")) };
}

std::vector<StubStep>
FloodFields(const HttpRequest& aRequest)
{
  return { Send(MakeOpenHead(aRequest)), Flood(Repeat("X-A: b\r\n")) };
}

// Each write ends with the first byte of a field, which lets the parser take
// the fields before it.
std::vector<StubStep>
FloodFieldsOneByOne(const HttpRequest& aRequest)
{
  return { Send(MakeOpenHead(aRequest) + "X"), Flood(": y\r\nX") };
}

std::vector<StubStep>
FloodContinueHeads(const HttpRequest& /*aRequest*/)
{
  return { Flood(Repeat("HTTP/1.1 100 Continue\r\n\r\n")) };
}

std::vector<StubStep>
FloodAnswersToOthers(const HttpRequest& /*aRequest*/)
{
  return { Flood(Repeat(MakeAnswer("other", 200, "theirs"))) };
}

std::vector<StubStep>
FloodChunkSize(const HttpRequest& aRequest)
{
  return { Send(MakeChunkedHead(aRequest)), Flood(Repeat("0")) };
}

std::vector<StubStep>
FloodChunkExtension(const HttpRequest& aRequest)
{
  return { Send(MakeChunkedHead(aRequest) + "5;name="), Flood(Repeat("x")) };
}

std::vector<StubStep>
FloodTrailers(const HttpRequest& aRequest)
{
  return { Send(MakeChunkedHead(aRequest) + "0\r\n"),
           Flood(Repeat("X-A: b\r\n")) };
}

std::vector<StubStep>
FloodBody(const HttpRequest& aRequest)
{
  return { Send(MakeOpenHead(aRequest) + "\r\n"), Flood(Repeat("x")) };
}

std::vector<StubStep>
FloodErrorBody(const HttpRequest& aRequest)
{
  return { Send(MakeOpenHead(aRequest, 500) + "\r\n"), Flood(Repeat("x")) };
}

} // namespace

// clang-format off
TEST_GROUP(EndlessAnswer)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_endpoints;
  int m_calls = 0;

  void teardown() override { m_fixture.reset(); }

  // Starts two plain endpoints and two engines. The first request is answered
  // by aFirst, later requests completely.
  void Start(const StubEndpoint::Script& aFirst)
  {
    m_fixture = std::make_unique<ForwardFixture>();
    m_fixture->PutConfig();
    m_endpoints.clear();
    m_calls = 0;
    for (const bool isEngine : { false, false, true, true }) {
      m_endpoints.push_back(isEngine ? &m_fixture->AddEngine(0, 4)
                                     : &m_fixture->AddPlainEndpoint());
      m_endpoints.back()->SetScript(WithEngineState(
        [this, aFirst, isEngine](const HttpRequest& aRequest) {
          if (++m_calls == 1) {
            return aFirst(aRequest);
          }
          return isEngine
            ? StreamAll(aRequest)
            : std::vector<StubStep>{ Send(
                MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
        }));
    }
    m_fixture->Start();
  }
  // Returns true once the gateway has closed the connection of the flood
  // before its end.
  bool IsFloodClosed()
  {
    std::size_t bytes = 0;
    const bool isClosed = m_fixture->RunUntil([this] {
      int abandoned = 0;
      for (const StubEndpoint* endpoint : m_endpoints) {
        abandoned += endpoint->Abandoned();
      }
      return abandoned == 1;
    });
    for (const StubEndpoint* endpoint : m_endpoints) {
      bytes += endpoint->FloodBytes();
    }
    return isClosed && bytes < kMaxFloodBytes;
  }
  std::string AskStream(const std::string& aPath)
  {
    return m_fixture->SendRequest("POST", aPath, kStreamHeader, "prompt");
  }
  // Checks that the answer is given up before the request's deadline, and that
  // requests which may move are served elsewhere.
  void CheckPlain(const StubEndpoint::Script& aScript)
  {
    Start(aScript);
    const std::string failed =
      m_fixture->SendRequest("POST", "/unsafe/x", "", "b");
    CHECK_EQUAL(502, StatusOf(failed));
    CHECK(failed.find("Response-Signature") == std::string::npos);
    CHECK(IsFloodClosed());
    CHECK_EQUAL(1, m_calls);
    Start(aScript);
    const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
    CHECK_EQUAL(200, StatusOf(answer));
    CHECK(answer.ends_with("\r\n\r\ndone"));
    CHECK(IsFloodClosed());
    CHECK_EQUAL(2, m_calls);
  }
  void CheckStream(const StubEndpoint::Script& aScript)
  {
    Start(aScript);
    const std::string failed = AskStream("/once/x");
    CHECK_EQUAL(502, StatusOf(failed));
    CHECK(failed.find("Response-Signature") == std::string::npos);
    CHECK(IsFloodClosed());
    CHECK_EQUAL(1, m_calls);
    Start(aScript);
    CheckAllEventsOnce(AskStream("/stream/x"));
    CHECK(IsFloodClosed());
    CHECK_EQUAL(2, m_calls);
  }
};
// clang-format on

TEST(EndlessAnswer, AStatusLineWithoutEnd)
{
  CheckPlain(FloodStatusLine);
  CheckStream(FloodStatusLine);
}

TEST(EndlessAnswer, AHeaderFieldWithoutEnd)
{
  CheckPlain(FloodField);
  CheckStream(FloodField);
}

TEST(EndlessAnswer, HeaderFieldsWithoutEnd)
{
  CheckPlain(FloodFields);
  CheckStream(FloodFields);
}

TEST(EndlessAnswer, HeaderFieldsWithoutEndThatArriveOneByOne)
{
  CheckPlain(FloodFieldsOneByOne);
  CheckStream(FloodFieldsOneByOne);
}

TEST(EndlessAnswer, ContinueHeadsOneAfterTheOther)
{
  CheckPlain(FloodContinueHeads);
  CheckStream(FloodContinueHeads);
}

TEST(EndlessAnswer, AnswersToOthersOneAfterTheOther)
{
  CheckPlain(FloodAnswersToOthers);
  CheckStream(FloodAnswersToOthers);
}

TEST(EndlessAnswer, AChunkSizeWithoutEnd)
{
  CheckPlain(FloodChunkSize);
  CheckStream(FloodChunkSize);
}

TEST(EndlessAnswer, AChunkExtensionWithoutEnd)
{
  CheckPlain(FloodChunkExtension);
  CheckStream(FloodChunkExtension);
}

TEST(EndlessAnswer, TrailersWithoutEnd)
{
  CheckPlain(FloodTrailers);
  CheckStream(FloodTrailers);
}

TEST(EndlessAnswer, ABodyWithoutEnd)
{
  CheckPlain(FloodBody);
}

TEST(EndlessAnswer, AnEventWithoutEnd)
{
  CheckStream(FloodBody);
}

TEST(EndlessAnswer,
     EventsWithoutEndEndWithTheDeadlineAndOthersAreServedMeanwhile)
{
  Start([](const HttpRequest& aRequest) {
    std::vector<StubStep> steps{ Send(MakeOpenHead(aRequest) + "\r\n") };
    // Lasts longer than the test may.
    for (int i = 0; i < 20000; ++i) {
      steps.push_back(Send(Repeat("data: x\n\n")));
      steps.push_back(Pause(std::chrono::milliseconds(1)));
    }
    return steps;
  });
  std::string request = MakeRequest(
    "POST", "/stream/x", kStreamHeader + "Connection: close\r\n", "prompt");
  const std::string usual = "Deadline-Ms: 5000";
  request.replace(request.find(usual), usual.size(), "Deadline-Ms: 400");
  const auto caller = m_fixture->Connect();
  const TimePoint sentAt = BootClock::now();
  caller->Send(request);
  int served = 0;
  // A failing test ends here, too.
  const TimePoint latest = sentAt + std::chrono::seconds(5);
  while (!caller->IsClosed() && BootClock::now() < latest) {
    CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
    ++served;
  }
  CHECK(caller->IsClosed());
  CHECK(BootClock::now() - sentAt >= std::chrono::milliseconds(400));
  CHECK(served > 1);
  CHECK_EQUAL(200, StatusOf(caller->Received()));
  CHECK_FALSE(IsComplete(caller->Received()));
  CHECK(m_fixture->m_sink.Has({ "request_cut", "\"why\":\"overdue\"" }));
}

TEST(EndlessAnswer, AnErrorBodyWithoutEnd)
{
  CheckPlain(FloodErrorBody);
  CheckStream(FloodErrorBody);
}
