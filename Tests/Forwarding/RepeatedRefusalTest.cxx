// Tests of endpoints that write an earlier refusal once more on a kept
// connection, before the answer to a later request.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(RepeatedRefusal)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_endpoints;
  int m_runs = 0;

  void teardown() override { m_fixture.reset(); }

  void Start(int aCount, bool aIsStream, const StubEndpoint::Script& aScript)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < aCount; ++i) {
      m_endpoints.push_back(aIsStream ? &m_fixture->AddEngine(0, 4)
                                      : &m_fixture->AddPlainEndpoint());
      m_endpoints.back()->SetScript(WithEngineState(aScript));
    }
    m_fixture->Start();
  }
  // aField: the line that names the request, or nothing.
  static std::string MakeRefusal(const std::string& aField)
  {
    return "HTTP/1.1 503 Any\r\n" + aField +
           "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  // An attempt as a caller makes it; its id may be that of an earlier one.
  std::string Ask(const std::string& aPath, const std::string& aId,
                  const std::string& aFields = {})
  {
    const auto caller = m_fixture->Connect();
    caller->Send("POST " + aPath + " HTTP/1.1\r\nHost: one.example\r\n"
                 "Attempt-Id: " + aId + "\r\nDeadline-Ms: 5000\r\n"
                 "Authorization: Bearer k1\r\nConnection: close\r\n" + aFields +
                 "Content-Length: 0\r\n\r\n");
    return m_fixture->RunUntil([&] { return caller->IsClosed(); })
             ? caller->Received() : "no answer";
  }
};
// clang-format on

// The first answer on a connection can belong to no other request.
TEST(RepeatedRefusal, WithoutAnIdOnlyTheFirstOneOfAConnectionIsBelieved)
{
  Start(1, false, [this](const HttpRequest& aRequest) -> std::vector<StubStep> {
    if (AttemptIdOf(aRequest) == "b1") {
      return { Send(MakeRefusal("")) };
    }
    ++m_runs;
    return { Send(MakeRefusal("")),
             Send(MakeAnswer(AttemptIdOf(aRequest), 200, "ran")) };
  });
  CHECK_EQUAL(503, StatusOf(Ask("/unsafe/x", "b1")));
  const std::string answer = Ask("/unsafe/x", "b2");
  CHECK_EQUAL(1, m_runs);
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("ran"));
}

TEST(RepeatedRefusal, WithoutAnIdAStreamIsNotSaidToBeRefused)
{
  Start(2, true, [this](const HttpRequest& aRequest) -> std::vector<StubStep> {
    if (AttemptIdOf(aRequest) == "b1") {
      return { Send(MakeRefusal("")) };
    }
    ++m_runs;
    return { Send(MakeRefusal("")), Hang() };
  });
  CHECK_EQUAL(503, StatusOf(Ask("/once/x", "b1", kStreamHeader)));
  const std::string answer = Ask("/once/x", "b2", kStreamHeader);
  CHECK_EQUAL(1, m_runs);
  CHECK_EQUAL(502, StatusOf(answer));
}

// The connection that carried the refusal of an attempt may carry it again.
TEST(RepeatedRefusal, AnAttemptThatComesAgainGetsAnotherConnection)
{
  int calls = 0;
  Start(
    1, false, [&, this](const HttpRequest& aRequest) -> std::vector<StubStep> {
      const std::string field = "Attempt-Id: " + AttemptIdOf(aRequest) + "\r\n";
      if (++calls == 1) {
        return { Send(MakeRefusal(field)) };
      }
      ++m_runs;
      return { Send(MakeAnswer(AttemptIdOf(aRequest), 200, "ran")) };
    });
  CHECK_EQUAL(503, StatusOf(Ask("/unsafe/x", "b1")));
  CHECK_EQUAL(200, StatusOf(Ask("/unsafe/x", "b1")));
  CHECK_EQUAL(1, m_runs);
  CHECK_EQUAL(2, m_endpoints[0]->Connections());
  // Other attempts use both connections on.
  CHECK_EQUAL(200, StatusOf(Ask("/unsafe/x", "b2")));
  CHECK_EQUAL(2, m_endpoints[0]->Connections());
}

// The engine refuses, is asked again since there is no other one, and begins
// with the refusal once more.
TEST(RepeatedRefusal, AStreamThatRunsIsNotSentToASecondEngine)
{
  int calls = 0;
  Start(
    1, true, [&, this](const HttpRequest& aRequest) -> std::vector<StubStep> {
      const std::string refusal =
        MakeRefusal("Attempt-Id: " + AttemptIdOf(aRequest) + "\r\n");
      if (++calls == 1) {
        return { Send(refusal) };
      }
      ++m_runs;
      std::vector<StubStep> steps = StreamAll(aRequest);
      if (m_endpoints[0]->Connections() == 1) {
        steps.insert(steps.begin(), Send(refusal));
      }
      return steps;
    });
  const std::string answer = Ask("/once/x", "b1", kStreamHeader);
  CHECK_EQUAL(1, m_runs);
  CheckAllEventsOnce(answer);
}
