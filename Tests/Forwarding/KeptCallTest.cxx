// Tests of calls that are kept while their endpoint is silent.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using std::chrono::milliseconds;

// clang-format off
TEST_GROUP(KeptCall)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_engines;
  // The engine that serves the first request.
  const StubEndpoint* m_first = nullptr;

  void teardown() override { m_fixture.reset(); }

  // Starts engines that hold all layers and answer probes. The engine of the
  // first request answers it by aFirst and later requests by aAgain; the other
  // engines answer by aOther.
  void Start(int aCount,
             const StubEndpoint::Script& aFirst,
             const StubEndpoint::Script& aAgain,
             const StubEndpoint::Script& aOther)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < aCount; ++i) {
      m_engines.push_back(&m_fixture->AddEngine(0, 4));
    }
    for (StubEndpoint* engine : m_engines) {
      engine->SetScript(WithEngineState(
        [this, engine, aFirst, aAgain, aOther](const HttpRequest& aRequest) {
          if (m_first == nullptr) {
            m_first = engine;
            return aFirst(aRequest);
          }
          return m_first == engine ? aAgain(aRequest) : aOther(aRequest);
        }));
    }
    m_fixture->Start();
  }

  static std::vector<StubStep> Refuse(const HttpRequest& aRequest)
  {
    return { Send(MakeAnswer(
      AttemptIdOf(aRequest), 503, "", "Not-Executed: 1\r\n")) };
  }
  // Sends the first event, is silent for 1.2 s, and sends the others.
  static std::vector<StubStep> GoOn(const HttpRequest& aRequest)
  {
    return { Send(MakeStreamHead(AttemptIdOf(aRequest)) + MakeEvent(1)),
             Pause(milliseconds(1200)),
             Send(MakeEvent(2) + MakeEvent(3) + MakeEvent(4) + MakeEvent(5) +
                  MakeStreamEnd()) };
  }
  std::string Ask()
  {
    return m_fixture->SendRequest(
      "POST", "/stream/x", kStreamHeader, "prompt");
  }
};
// clang-format on

// The only engine answers probes and serves a request once at a time.
TEST(KeptCall, ACallIsKeptWhenItsOwnEngineRefusesTheNext)
{
  Start(1, GoOn, Refuse, Refuse);
  CheckAllEventsOnce(Ask());
}

TEST(KeptCall, ACallIsKeptWhenAllEnginesRefuseTheNext)
{
  Start(2, GoOn, Refuse, Refuse);
  CheckAllEventsOnce(Ask());
}

// Two stages; the second one is silent to everybody for 1.2 s. The first engine
// refuses the stream on its new path.
TEST(KeptCall, ACallIsKeptWhenItsEngineRefusesTheNewPath)
{
  m_fixture->PutConfig();
  StubEndpoint& first = m_fixture->AddEngine(0, 2);
  std::vector<StubEndpoint*> lasts{ &m_fixture->AddEngine(2, 4),
                                    &m_fixture->AddEngine(2, 4) };
  bool isSilent = false;
  StubEndpoint* silent = nullptr;
  int calls = 0;
  first.SetScript(WithEngineState([&](const HttpRequest& aRequest) {
    if (calls++ != 0) {
      return Refuse(aRequest);
    }
    const std::string port = ":" + std::to_string(lasts[0]->Port()) + "=";
    silent = std::string(aRequest["Hop-Count"]).find(port) != std::string::npos
               ? lasts[0]
               : lasts[1];
    isSilent = true;
    std::vector<StubStep> steps = GoOn(aRequest);
    steps.insert(steps.begin() + 2, Await([&] {
                   isSilent = false;
                   return true;
                 }));
    return steps;
  }));
  for (StubEndpoint* last : lasts) {
    last->SetScript(
      [&, last](const HttpRequest& aRequest) -> std::vector<StubStep> {
        if (isSilent && last == silent) {
          return { Await([&] { return !isSilent; }), CloseNow() };
        }
        return WithEngineState(StreamAll)(aRequest);
      });
  }
  m_fixture->Start();
  const std::string answer = Ask();
  CheckAllEventsOnce(answer);
}

// The first engine breaks off; the stage of its successor is silent for a
// second and goes on.
TEST(KeptCall, ASecondSilentCallIsKeptToo)
{
  m_fixture->PutConfig();
  bool isFirstSilent = false;
  bool isStageSilent = false;
  StubEndpoint& whole = m_fixture->AddEngine(0, 4);
  whole.SetScript([&](const HttpRequest& aRequest) -> std::vector<StubStep> {
    if (isFirstSilent) {
      return { Hang() };
    }
    if (aRequest.target() == "/parsleycove/report" ||
        aRequest.target() == kOrderTarget) {
      return WithEngineState(StreamAll)(aRequest);
    }
    isFirstSilent = true;
    return { Send(MakeStreamHead(AttemptIdOf(aRequest)) + MakeEvent(1)),
             Pause(milliseconds(1200)),
             CloseNow() };
  });
  m_fixture->Start();
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest(
    "POST", "/stream/x", kStreamHeader + "Connection: close\r\n", "prompt"));
  CHECK(
    m_fixture->RunUntil([&] { return !EventsOf(caller->Received()).empty(); }));
  StubEndpoint& first = m_fixture->AddEngine(0, 2);
  std::vector<StubEndpoint*> lasts{ &m_fixture->AddEngine(2, 4),
                                    &m_fixture->AddEngine(2, 4) };
  StubEndpoint* silent = nullptr;
  int calls = 0;
  first.SetScript(
    WithEngineState([&](const HttpRequest& aRequest) -> std::vector<StubStep> {
      if (calls++ != 0) {
        return Refuse(aRequest);
      }
      const std::string port = ":" + std::to_string(lasts[0]->Port()) + "=";
      silent =
        std::string(aRequest["Hop-Count"]).find(port) != std::string::npos
          ? lasts[0]
          : lasts[1];
      isStageSilent = true;
      std::vector<StubStep> steps = StreamAll(aRequest);
      steps.insert(steps.begin(), Pause(milliseconds(1300)));
      steps.insert(steps.begin() + 1, Await([&] {
                     isStageSilent = false;
                     return true;
                   }));
      return steps;
    }));
  for (StubEndpoint* last : lasts) {
    last->SetScript(
      [&, last](const HttpRequest& aRequest) -> std::vector<StubStep> {
        if (isStageSilent && last == silent) {
          return { Await([&] { return !isStageSilent; }), CloseNow() };
        }
        return WithEngineState(StreamAll)(aRequest);
      });
  }
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckAllEventsOnce(caller->Received());
}

// A byte now and then is no progress: another engine must get its time.
TEST(KeptCall, ASuccessorGoesOnWhenTheSilentEngineSendsSingleBytes)
{
  Start(
    2,
    [](const HttpRequest& aRequest) {
      std::vector<StubStep> steps{ Send(MakeStreamHead(AttemptIdOf(aRequest)) +
                                        MakeEvent(1)) };
      std::string rest = "40\r\nid: 2\ndata: ";
      for (int i = 0; i < 60; ++i) {
        rest += 'x';
      }
      for (const char byte : rest) {
        steps.push_back(Pause(milliseconds(200)));
        steps.push_back(Send(std::string(1, byte)));
      }
      steps.push_back(Hang());
      return steps;
    },
    Refuse,
    [](const HttpRequest& aRequest) {
      std::vector<StubStep> steps = StreamAll(aRequest);
      steps.insert(steps.begin(), Pause(milliseconds(500)));
      return steps;
    });
  const std::string answer = Ask();
  CheckAllEventsOnce(answer);
}

// The silent endpoint sends a byte and stalls; the other endpoint is sound.
TEST(KeptCall, APlainSuccessorGoesOnWhenTheSilentEndpointSendsAByte)
{
  m_fixture->PutConfig();
  for (int i = 0; i < 2; ++i) {
    StubEndpoint& endpoint = m_fixture->AddPlainEndpoint();
    endpoint.SetScript(
      [this, &endpoint](const HttpRequest& aRequest) -> std::vector<StubStep> {
        const std::string answer =
          MakeAnswer(AttemptIdOf(aRequest), 200, "whole body");
        if (m_first != nullptr) {
          return { Pause(milliseconds(200)), Send(answer) };
        }
        m_first = &endpoint;
        return { Pause(milliseconds(200)), Send(answer.substr(0, 1)), Hang() };
      });
  }
  m_fixture->Start();
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(200, StatusOf(answer));
}

// The end of an unframed answer arrives while another endpoint is asked.
TEST(KeptCall, AnUnframedAnswerMayEndBesideItsSuccessor)
{
  m_fixture->PutConfig();
  for (int i = 0; i < 2; ++i) {
    StubEndpoint& endpoint = m_fixture->AddPlainEndpoint();
    endpoint.SetScript([this, &endpoint](
                         const HttpRequest& aRequest) -> std::vector<StubStep> {
      if (m_first != nullptr) {
        return { Hang() };
      }
      m_first = &endpoint;
      return { Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
                    "\r\nResponse-Signature: s1\r\n\r\nwhole body"),
               Pause(milliseconds(400)),
               CloseNow() };
    });
  }
  m_fixture->Start();
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\nwhole body"));
}

// The same with a stream whose engine answers nobody while it is silent.
TEST(KeptCall, AnUnframedStreamMayEndBesideItsSuccessor)
{
  m_fixture->PutConfig();
  bool isSilent = false;
  StubEndpoint* first = nullptr;
  for (int i = 0; i < 2; ++i) {
    StubEndpoint& engine = m_fixture->AddEngine(0, 4);
    engine.SetScript([&](const HttpRequest& aRequest) -> std::vector<StubStep> {
      if (isSilent && first == &engine) {
        return { Await([&] { return !isSilent; }), CloseNow() };
      }
      if (aRequest.target() == "/parsleycove/report" ||
          aRequest.target() == kOrderTarget) {
        return WithEngineState(StreamAll)(aRequest);
      }
      if (first != nullptr) {
        return { Hang() };
      }
      first = &engine;
      isSilent = true;
      std::string head = MakeStreamHead(AttemptIdOf(aRequest));
      const std::string chunked = "Transfer-Encoding: chunked\r\n";
      head.erase(head.find(chunked), chunked.size());
      std::string events;
      for (int id = 1; id <= 5; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: x\n\n";
      }
      return { Send(head + events),
               Pause(milliseconds(1200)),
               Await([&] {
                 isSilent = false;
                 return true;
               }),
               CloseNow() };
    });
  }
  m_fixture->Start();
  CheckAllEventsOnce(Ask());
}

// A silent call breaks within a large body while its successor is asked.
TEST(KeptCall, WhatABrokenCallHeldIsGivenBackAtOnce)
{
  constexpr int kBytes = 100'000;
  m_fixture->PutConfig();
  bool mayBreak = false;
  bool isGivenBack = false;
  int calls = 0;
  for (int i = 0; i < 2; ++i) {
    m_fixture->AddPlainEndpoint().SetScript([&](const HttpRequest& aRequest)
                                              -> std::vector<StubStep> {
      if (++calls != 1) {
        return { Await([&] { return isGivenBack; }),
                 Send(MakeAnswer(AttemptIdOf(aRequest), 200, "done")) };
      }
      return { Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptIdOf(aRequest) +
                    "\r\nResponse-Signature: s1\r\n"
                    "Content-Length: 200000\r\n\r\n" +
                    std::string(kBytes, 'x')),
               Await([&] { return mayBreak; }),
               CloseNow() };
    });
  }
  m_fixture->Start();
  const auto held = [this] {
    return m_fixture->MetricOf("parsleycove_answer_budget_held_bytes");
  };
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest("GET", "/safe/x", ""));
  CHECK(m_fixture->RunUntil([&] { return calls == 2 && held() >= kBytes; }));
  mayBreak = true;
  CHECK(m_fixture->RunUntil([&] { return held() == 0; }));
  isGivenBack = true;
  CHECK(m_fixture->RunUntil([&] { return !caller->Received().empty(); }));
  CHECK_EQUAL(200, StatusOf(caller->Received()));
}
