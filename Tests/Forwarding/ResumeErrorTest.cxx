// Tests of streams that have begun and break, and whose next engine answers
// with an error.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using std::chrono::milliseconds;

namespace {

// Longer than the time after which a request moves to another engine.
constexpr milliseconds kSilence{ 2900 };
// The other engine refuses after the silent one has answered.
constexpr milliseconds kLaterRefusal{ 900 };

} // namespace

// clang-format off
TEST_GROUP(ResumeError)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  int m_calls = 0;

  void teardown() override { m_fixture.reset(); }

  // Starts engines that hold all layers. The first request breaks in its fourth
  // event; later requests are answered by aLater, which gets their number.
  void Start(int aCount,
             const std::function<std::vector<StubStep>(int, const HttpRequest&)>& aLater)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < aCount; ++i) {
      m_fixture->AddEngine(0, 4).SetScript(
        WithEngineState([this, aLater](const HttpRequest& aRequest) {
          return ++m_calls == 1 ? StreamPart(aRequest, CloseNow())
                                : aLater(m_calls, aRequest);
        }));
    }
    m_fixture->Start();
  }
  std::string Ask()
  {
    return m_fixture->SendRequest("POST", "/stream/x", kStreamHeader, "prompt");
  }
  static std::string MakeHead(const HttpRequest& aRequest,
                              const std::string& aStatus,
                              const std::string& aFields)
  {
    return "HTTP/1.1 " + aStatus + "\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
           "\r\n" + aFields + "\r\n";
  }
  // The caller has the first three events, and nothing that looks like the end.
  static void CheckCut(const std::string& aAnswer)
  {
    const std::vector<int> expected{ 1, 2, 3 };
    CHECK(EventsOf(aAnswer) == expected);
    CHECK_FALSE(IsComplete(aAnswer));
    CHECK(aAnswer.find("oops") == std::string::npos);
    CHECK(aAnswer.find("HTTP/1.1", 1) == std::string::npos);
  }
};
// clang-format on

TEST(ResumeError, ItsTextIsNotPartOfTheStream)
{
  const std::string text = "id: 4\ndata: oops\n\n";
  const std::string length =
    "Content-Length: " + std::to_string(text.size()) + "\r\n";
  const std::string chunk = "13\r\n" + text + "\r\n0\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string mark = "Response-Signature: s1\r\n";
  const std::vector<std::array<std::string, 3>> answers{
    { "500 Internal Server Error", mark + length, text },
    { "500 Internal Server Error", mark + chunked, chunk },
    { "500 Internal Server Error", mark, text },
    { "404 Not Found", length, text },
    { "503 Service Unavailable", length, text },
    { "302 Found", mark + length, text },
    { "302 Found", mark + "Content-Length: 0\r\n", "" },
    { "200 OK", length, text },
  };
  for (const auto& [status, fields, body] : answers) {
    m_calls = 0;
    m_fixture = std::make_unique<ForwardFixture>();
    Start(
      3,
      [status = status, fields = fields, body = body](
        int, const HttpRequest& aRequest) -> std::vector<StubStep> {
        return { Send(MakeHead(aRequest, status, fields) + body), CloseNow() };
      });
    CheckCut(Ask());
    CHECK(m_calls > 1);
  }
}

// The engine that took the stream over is silent at first, so that its answer
// is read while other engines are asked, and refuse.
TEST(ResumeError, TheTextOfASilentEngineIsNotPartOfTheStream)
{
  Start(3, [](int aCall, const HttpRequest& aRequest) -> std::vector<StubStep> {
    switch (aCall) {
      case 2:
        return { Pause(kSilence),
                 Send(MakeAnswer(AttemptIdOf(aRequest), 500, "oops\n\n")) };
      case 3:
      case 4:
        return { Pause(aCall == 3 ? kLaterRefusal : milliseconds(0)),
                 Send(MakeAnswer(
                   AttemptIdOf(aRequest), 503, "", "Not-Executed: 1\r\n")) };
      default:
        return StreamAll(aRequest);
    }
  });
  const std::string answer = Ask();
  CHECK_EQUAL(5, m_calls);
  CHECK(answer.find("oops") == std::string::npos);
  CheckAllEventsOnce(answer);
}
