// Tests of stream forwarding: complete events, resumption, refusing stages.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// Refuses the request and names the second stage of its path as the reason.
std::vector<StubStep>
RefuseAtSecondStage(const HttpRequest& aRequest)
{
  const std::string path(aRequest["Hop-Count"]);
  const auto comma = path.find(',');
  const std::string second =
    path.substr(comma + 1, path.find('=', comma) - comma - 1);
  return { Send(
    MakeAnswer(AttemptIdOf(aRequest),
               503,
               "",
               "Not-Executed: 1\r\nAt-Server: " + second + "\r\n")) };
}

} // namespace

// clang-format off
TEST_GROUP(StreamForward)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  StubEndpoint* m_first = nullptr;
  StubEndpoint* m_other = nullptr;

  void teardown() override { m_fixture.reset(); }

  // Starts two engines that hold all layers. The first request is answered by
  // aBroken, later requests are answered completely.
  void StartTwo(const StubEndpoint::Script& aBroken)
  {
    m_fixture->PutConfig();
    m_first = &m_fixture->AddEngine(0, 4);
    m_other = &m_fixture->AddEngine(0, 4);
    auto script = WithEngineState([this, aBroken](const HttpRequest& aRequest) {
      return ++m_calls == 1 ? aBroken(aRequest) : StreamAll(aRequest);
    });
    m_first->SetScript(script);
    m_other->SetScript(script);
    m_fixture->Start();
  }
  std::string Ask(const std::string& aPath)
  {
    return m_fixture->SendRequest("POST", aPath, kStreamHeader, "prompt");
  }

  int m_calls = 0;
};
// clang-format on

TEST(StreamForward, PassesEventsOnWithThePathThatServesThem)
{
  m_fixture->PutConfig();
  m_first = &m_fixture->AddEngine(0, 2);
  m_other = &m_fixture->AddEngine(2, 4);
  m_first->SetScript(WithEngineState(StreamAll));
  m_other->SetScript(WithEngineState(StreamAll));
  m_fixture->Start();
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK_EQUAL(1U, m_first->Requests().size());
  CHECK_EQUAL(0U, m_other->Requests().size());
  const HttpRequest& sent = m_first->Requests()[0];
  const std::string path = "127.0.0.1:" + std::to_string(m_first->Port()) +
                           "=0-2,127.0.0.1:" + std::to_string(m_other->Port()) +
                           "=2-4";
  STRCMP_EQUAL(path.c_str(), std::string(sent["Hop-Count"]).c_str());
  CHECK(sent["Token-Usage"] == "100,40");
  CHECK(sent["Prompt-Prefix"] == "1:100");
}

TEST(StreamForward, GoesOnElsewhereAfterTheLastWholeEvent)
{
  StartTwo([](const HttpRequest& aRequest) {
    return StreamPart(aRequest, CloseNow());
  });
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK_EQUAL(2, m_calls);
  CHECK(m_fixture->m_sink.Has({ "stream_resumed", "\"id\":\"a1\"" }));
  CHECK_EQUAL(1, m_fixture->MetricOf("parsleycove_resumes_total"));
}

TEST(StreamForward, AStreamThatMayNotBeResumedDoesNotLookComplete)
{
  StartTwo([](const HttpRequest& aRequest) {
    return StreamPart(aRequest, CloseNow());
  });
  const std::string answer = Ask("/once/x");
  const std::vector<int> expected{ 1, 2, 3 };
  CHECK(EventsOf(answer) == expected);
  CHECK_FALSE(IsComplete(answer));
  CHECK_EQUAL(1, m_calls);
  CHECK(m_fixture->m_sink.Has({ "request_cut", "\"why\":\"broken\"" }));
  CHECK_FALSE(m_fixture->m_sink.Has({ "stream_resumed" }));
  CHECK_EQUAL(0, m_fixture->MetricOf("parsleycove_resumes_total"));
}

TEST(StreamForward, AStreamThatEndsWithinAnEventIsNotComplete)
{
  StartTwo([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{
      Send(MakeStreamHead(AttemptIdOf(aRequest))),
      Send(MakeEvent(1)),
      Send("5\r\nid: 2\r\n"),
      Send(MakeStreamEnd()),
    };
  });
  CheckAllEventsOnce(Ask("/stream/x"));
}

// Engines may number events by their last token: ids increase by more than one.
TEST(StreamForward, EventsWithGapsArriveWholeAndInOrder)
{
  for (const char* path : { "/stream/x", "/once/x" }) {
    m_fixture = std::make_unique<ForwardFixture>();
    m_calls = 0;
    StartTwo([](const HttpRequest& aRequest) {
      return std::vector<StubStep>{ Send(MakeStreamHead(AttemptIdOf(aRequest))),
                                    Send(MakeEvent(2)),
                                    Send(MakeEvent(4) + MakeEvent(9)),
                                    Send(MakeEvent(10) + MakeStreamEnd()) };
    });
    const std::string answer = Ask(path);
    const std::vector<int> expected{ 2, 4, 9, 10 };
    CHECK(EventsOf(answer) == expected);
    CHECK(IsComplete(answer));
    CHECK_EQUAL(1, m_calls);
  }
}

TEST(StreamForward, EventsWithGapsGoOnBehindTheLastOneAfterABreak)
{
  std::vector<std::string> lastIds;
  const auto script = [&](const HttpRequest& aRequest) {
    lastIds.emplace_back(aRequest["Last-Event-Id"]);
    std::vector<StubStep> steps{ Send(MakeStreamHead(AttemptIdOf(aRequest))) };
    if (lastIds.size() == 1) {
      const std::string third = MakeEvent(6);
      steps.push_back(Send(MakeEvent(2) + MakeEvent(4) + third.substr(0, 9)));
      steps.push_back(CloseNow());
      return steps;
    }
    // Sends an event again that was delivered.
    steps.push_back(Send(MakeEvent(4) + MakeEvent(6) + MakeEvent(8)));
    steps.push_back(Send(MakeStreamEnd()));
    return steps;
  };
  m_fixture->PutConfig();
  for (int i = 0; i < 2; ++i) {
    m_fixture->AddEngine(0, 4).SetScript(WithEngineState(script));
  }
  m_fixture->Start();
  const std::string answer = Ask("/stream/x");
  const std::vector<int> expected{ 2, 4, 6, 8 };
  CHECK(EventsOf(answer) == expected);
  CHECK(IsComplete(answer));
  const std::vector<std::string> expectedIds{ "", "4" };
  CHECK(lastIds == expectedIds);
}

TEST(StreamForward, AStageThatRefusesIsGoneRoundAndNothingHasRun)
{
  m_fixture->PutConfig();
  m_first = &m_fixture->AddEngine(0, 2);
  m_other = &m_fixture->AddEngine(2, 4);
  StubEndpoint& spare = m_fixture->AddEngine(2, 4);
  spare.SetScript(WithEngineState(StreamAll));
  m_other->SetScript(WithEngineState(StreamAll));
  m_first->SetScript(WithEngineState([&](const HttpRequest& aRequest) {
    if (++m_calls > 1) {
      return StreamAll(aRequest);
    }
    return RefuseAtSecondStage(aRequest);
  }));
  m_fixture->Start();
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK_EQUAL(2, m_calls);
  CHECK(m_first->Requests()[0]["Hop-Count"] !=
        m_first->Requests()[1]["Hop-Count"]);
}

// The second stage of the first stream's path hangs and answers probes. A
// second stream, which that stage refuses, goes on through the other engine.
TEST(StreamForward, AStreamLeavesAStageThatHangsThoughItAnswersProbes)
{
  m_fixture->PutConfig();
  m_first = &m_fixture->AddEngine(0, 2);
  m_fixture->AddEngine(2, 4).SetScript(WithEngineState(StreamAll));
  m_fixture->AddEngine(2, 4).SetScript(WithEngineState(StreamAll));
  m_first->SetScript(WithEngineState([&](const HttpRequest& aRequest) {
    switch (++m_calls) {
      case 1:
        return std::vector<StubStep>{ Hang() };
      case 2:
        return RefuseAtSecondStage(aRequest);
      default:
        return StreamAll(aRequest);
    }
  }));
  m_fixture->Start();
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest(
    "POST", "/stream/x", kStreamHeader + "Connection: close\r\n", "prompt"));
  CHECK(m_fixture->RunUntil([&] { return m_calls == 1; }));
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckAllEventsOnce(caller->Received());
  CHECK(m_fixture->m_sink.Has({ "endpoint_suspected", "no event has passed" }));
}

TEST(StreamForward, AStreamWhoseEnginesAnswerIsNotEndedForItsSilence)
{
  StartTwo([](const HttpRequest& aRequest) {
    return std::vector<StubStep>{ Send(MakeStreamHead(AttemptIdOf(aRequest))),
                                  Send(MakeEvent(1)),
                                  Pause(std::chrono::milliseconds(400)),
                                  Send(MakeEvent(2) + MakeEvent(3)),
                                  Send(MakeEvent(4) + MakeEvent(5)),
                                  Send(MakeStreamEnd()) };
  });
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK_EQUAL(1, m_calls);
}

TEST(StreamForward, AStreamThatSendsBytesButNoEventIsMovedLikeASilentOne)
{
  StartTwo([](const HttpRequest& aRequest) {
    std::vector<StubStep> steps{ Send(MakeStreamHead(AttemptIdOf(aRequest))),
                                 Send(MakeEvent(1)) };
    // Lasts longer than the test may.
    for (int i = 0; i < 4000; ++i) {
      steps.push_back(Send("1\r\nx\r\n"));
      steps.push_back(Pause(std::chrono::milliseconds(10)));
    }
    return steps;
  });
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK_EQUAL(2, m_calls);
}

TEST(StreamForward, ACallerMayResumeByItself)
{
  m_fixture->PutConfig();
  m_first = &m_fixture->AddEngine(0, 4);
  m_first->SetScript(WithEngineState(StreamAll));
  m_fixture->Start();
  const std::string answer = m_fixture->SendRequest(
    "POST", "/stream/x", kStreamHeader + "Last-Event-Id: 3\r\n", "prompt");
  const std::vector<int> expected{ 4, 5 };
  CHECK(EventsOf(answer) == expected);
}

TEST(StreamForward, ACallerWhoLeavesEndsTheStream)
{
  StartTwo(
    [](const HttpRequest& aRequest) { return StreamPart(aRequest, Hang()); });
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest("POST", "/stream/x", kStreamHeader, "prompt"));
  CHECK(m_fixture->RunUntil(
    [&] { return EventsOf(caller->Received()).size() == 3; }));
  caller->Close();
  CHECK(m_fixture->RunUntil(
    [&] { return m_first->Abandoned() + m_other->Abandoned() == 1; }));
  CHECK_EQUAL(1, m_calls);
}

TEST(StreamForward, WithoutAPathTheCallerIsToldWhenToComeBack)
{
  m_fixture->PutConfig();
  m_first = &m_fixture->AddEngine(0, 2);
  m_first->SetScript(WithEngineState(StreamAll));
  m_fixture->Start();
  const std::string answer = Ask("/stream/x");
  CHECK_EQUAL(503, StatusOf(answer));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(m_fixture->m_sink.Has({ "request_refused", "no_path" }));
}

TEST(StreamForward, APathThatComesBackSoonIsWaitedFor)
{
  m_fixture->PutConfig();
  m_first = &m_fixture->AddEngine(0, 2);
  m_first->SetScript(WithEngineState(StreamAll));
  m_fixture->Start();
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest(
    "POST", "/stream/x", kStreamHeader + "Connection: close\r\n", "prompt"));
  m_fixture->RunUntil([polls = 0]() mutable { return ++polls > 8; });
  m_other = &m_fixture->AddEngine(2, 4);
  m_other->SetScript(WithEngineState(StreamAll));
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckAllEventsOnce(caller->Received());
}

// Both waits last several polls, so they are longer than the route's targets of
// 1 ms.
TEST(StreamForward, LateFirstEventsAndPausesAreToldApartByCause)
{
  const auto wait = [] {
    return Await([polls = 0]() mutable { return ++polls > 3; });
  };
  StartTwo([wait](const HttpRequest& aRequest) {
    return std::vector<StubStep>{
      wait(), Send(MakeStreamHead(AttemptIdOf(aRequest)) + MakeEvent(1)),
      wait(), Send(MakeEvent(2)),
      wait(), CloseNow()
    };
  });
  CheckAllEventsOnce(Ask("/aimed/x"));
  CHECK_EQUAL(1, m_fixture->MetricOf("parsleycove_late_first_events_total"));
  CHECK_EQUAL(1,
              m_fixture->MetricOf("parsleycove_pauses_total{path=\"moved\"}"));
  CHECK(m_fixture->MetricOf("parsleycove_pauses_total{path=\"kept\"}") >= 1);
  CHECK(m_fixture->m_sink.Has({ "request_answered", "\"pauses_moved\":1" }));
}

TEST(StreamForward, WithoutAGapTargetNoPauseIsCounted)
{
  StartTwo([](const HttpRequest& aRequest) {
    return StreamPart(aRequest, CloseNow());
  });
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK_EQUAL(0,
              m_fixture->MetricOf("parsleycove_pauses_total{path=\"moved\"}"));
  CHECK_EQUAL(0,
              m_fixture->MetricOf("parsleycove_pauses_total{path=\"kept\"}"));
}
