// Tests of endpoints that send bytes without end in place of an answer.
#include <algorithm>

#include <boost/asio/write.hpp>

#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr int kCallersAtOnce = 8;
constexpr int kBudgetBytes = 64 * 1024;
// What the tests of the budget send of one answer, and its buffers.
constexpr int kAnswerBytesAtMost = 128 * 1024;

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
  int HeldBytes() const
  {
    return m_fixture->MetricOf("parsleycove_answer_budget_held_bytes");
  }
  int OverBudget() const
  {
    return m_fixture->MetricOf("parsleycove_answers_over_budget_total");
  }
  // Starts an endpoint that answers by aScript, and an engine.
  void StartWithBudget(const StubEndpoint::Script& aScript)
  {
    m_fixture->m_options.m_answerBudgetBytes = kBudgetBytes;
    m_fixture->PutConfig();
    m_fixture->AddPlainEndpoint().SetScript(aScript);
    m_fixture->AddEngine(0, 4).SetScript(WithEngineState(StreamAll));
    m_fixture->Start();
  }
  // Checks that answers of which each is within its own limits are held within
  // the limit of all.
  void CheckHeldTogether(const StubEndpoint::Script& aScript)
  {
    StartWithBudget([aScript](const HttpRequest& aRequest) {
      std::vector<StubStep> steps = aScript(aRequest);
      steps.back() = Send(steps.back().m_bytes + Repeat("x"));
      steps.insert(steps.end(), 5, steps.back());
      steps.push_back(Hang());
      return steps;
    });
    std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
    int most = 0;
    for (int i = 0; i < kCallersAtOnce; ++i) {
      callers.push_back(m_fixture->Connect());
      callers.back()->Send(MakeRequest("POST", "/unsafe/x", "", "b"));
    }
    CHECK(m_fixture->RunUntil([&] {
      most = std::max(most, HeldBytes());
      return OverBudget() >= 1;
    }));
    CHECK(most <= kBudgetBytes + kAnswerBytesAtMost);
    CheckAllEventsOnce(AskStream("/stream/x"));
    const auto isFailed = [](const auto& aCaller) {
      return StatusOf(aCaller->Received()) == 502;
    };
    CHECK(m_fixture->RunUntil([&] {
      return std::count_if(callers.begin(), callers.end(), isFailed) ==
             OverBudget();
    }));
    CHECK(OverBudget() < kCallersAtOnce);
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

TEST(EndlessAnswer, ManyAnswersWithoutEndAreHeldWithinTheBudget)
{
  CheckHeldTogether(FloodBody);
}

TEST(EndlessAnswer, ManyHeadsWithoutEndAreHeldWithinTheBudget)
{
  CheckHeldTogether(FloodField);
}

TEST(EndlessAnswer, ManyChunkExtensionsWithoutEndAreHeldWithinTheBudget)
{
  CheckHeldTogether(FloodChunkExtension);
}

TEST(EndlessAnswer, ManyEventsWithoutEndAreHeldWithinTheBudget)
{
  // More than the buffers of the streams together.
  constexpr int kLimitBytes = 512 * 1024;
  m_fixture->m_options.m_answerBudgetBytes = kLimitBytes;
  m_fixture->PutConfig();
  m_fixture->AddPlainEndpoint().SetScript([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
  });
  m_fixture->AddEngine(0, 4).SetScript(
    WithEngineState([](const HttpRequest& aRequest) {
      return std::vector<StubStep>{ Send(MakeOpenHead(aRequest) + "\r\n" +
                                         std::string(kLimitBytes, 'x')),
                                    Hang() };
    }));
  m_fixture->Start();
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (int i = 0; i < kCallersAtOnce; ++i) {
    callers.push_back(m_fixture->Connect());
    callers.back()->Send(
      MakeRequest("POST", "/once/x", kStreamHeader, "prompt"));
  }
  int most = 0;
  CHECK(m_fixture->RunUntil([&] {
    most = std::max(most, HeldBytes());
    return OverBudget() >= 1;
  }));
  CHECK(most <= 2 * kLimitBytes + kAnswerBytesAtMost);
  CHECK_EQUAL(200, StatusOf(m_fixture->SendRequest("GET", "/safe/x")));
}

TEST(EndlessAnswer, AnswersThatNoCallerReadsAreHeldWithinTheBudget)
{
  constexpr int kAnswerBytes = 7 * 1024 * 1024;
  StartWithBudget([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(
      MakeAnswer(AttemptIdOf(aRequest), 200, std::string(kAnswerBytes, 'x'))) };
  });
  std::vector<std::unique_ptr<Tcp::socket>> callers;
  for (int i = 0; i < kCallersAtOnce; ++i) {
    callers.push_back(std::make_unique<Tcp::socket>(m_fixture->m_context));
    callers.back()->open(Tcp::v4());
    callers.back()->set_option(asio::socket_base::receive_buffer_size(4096));
    callers.back()->connect(
      { asio::ip::make_address("127.0.0.1"), m_fixture->m_gateway->Port() });
    asio::write(*callers.back(),
                asio::buffer(MakeRequest("POST", "/unsafe/x", "", "b")));
  }
  CHECK(
    m_fixture->RunUntil([this] { return OverBudget() == kCallersAtOnce - 1; }));
  CheckAllEventsOnce(AskStream("/stream/x"));
  CHECK(HeldBytes() < 2 * kAnswerBytes);
}

TEST(EndlessAnswer, AnErrorBodyWithoutEnd)
{
  CheckPlain(FloodErrorBody);
  CheckStream(FloodErrorBody);
}
