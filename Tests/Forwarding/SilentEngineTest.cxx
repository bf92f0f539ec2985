// Tests of streams whose engine falls silent for about a second and goes on.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(SilentEngine)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_engines;
  int m_calls = 0;
  // The engine that serves the first request; it answers nothing while silent.
  bool m_isSilent = false;

  void teardown() override { m_fixture.reset(); }

  // Starts engines that hold all layers. The engine of the first request sends
  // aBegun, is silent for aSilence to everybody, and sends the remaining
  // events. The other engines answer by aOther.
  void Start(int aCount,
             const std::string& aBegun,
             Duration aSilence,
             const StubEndpoint::Script& aOther)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < aCount; ++i) {
      m_engines.push_back(&m_fixture->AddEngine(0, 4));
    }
    for (StubEndpoint* engine : m_engines) {
      engine->SetScript([this, engine, aBegun, aSilence, aOther](
                          const HttpRequest& aRequest) {
        return Answer(*engine, aRequest, aBegun, aSilence, aOther);
      });
    }
    m_fixture->Start();
  }

  std::vector<StubStep> Answer(const StubEndpoint& aEngine,
                               const HttpRequest& aRequest,
                               const std::string& aBegun,
                               Duration aSilence,
                               const StubEndpoint::Script& aOther)
  {
    const bool isFirst = m_silentEngine == &aEngine;
    if (m_isSilent && isFirst) {
      return { Await([this] { return !m_isSilent; }), CloseNow() };
    }
    if (aRequest.target() == "/parsleycove/report") {
      return WithEngineState(StreamAll)(aRequest);
    }
    if (m_calls++ != 0) {
      return isFirst ? StreamAll(aRequest) : aOther(aRequest);
    }
    m_silentEngine = &aEngine;
    m_isSilent = true;
    std::vector<StubStep> steps;
    if (!aBegun.empty()) {
      steps.push_back(Send(MakeStreamHead(AttemptIdOf(aRequest)) + aBegun));
    }
    steps.push_back(Pause(aSilence));
    steps.push_back(Await([this] { m_isSilent = false; return true; }));
    const std::size_t sent = aBegun.empty() ? 0 : 1;
    std::string rest = sent == 0 ? MakeStreamHead(AttemptIdOf(aRequest)) : "";
    for (int id = 1; id <= 5; ++id) {
      rest += MakeEvent(id);
    }
    steps.push_back(Send(rest.substr(aBegun.size()) + MakeStreamEnd()));
    return steps;
  }

  static std::vector<StubStep> Refuse(const HttpRequest& aRequest)
  {
    return { Send(MakeAnswer(
      AttemptIdOf(aRequest), 503, "", "Not-Executed: 1\r\n")) };
  }
  std::string Ask(const std::string& aPath)
  {
    return m_fixture->SendRequest("POST", aPath, kStreamHeader, "prompt");
  }

  const StubEndpoint* m_silentEngine = nullptr;
};
// clang-format on

TEST(SilentEngine, ABegunAnswerGoesOnThoughTheOtherEnginesRefuse)
{
  Start(2, MakeEvent(1), std::chrono::milliseconds(1200), Refuse);
  CheckAllEventsOnce(Ask("/stream/x"));
}

TEST(SilentEngine, AnAnswerSilentWithinAnEventIsNotSentInParts)
{
  const std::string second = MakeEvent(2);
  Start(2,
        MakeEvent(1) + second.substr(0, second.size() / 2),
        std::chrono::milliseconds(1200),
        Refuse);
  CheckAllEventsOnce(Ask("/stream/x"));
}

TEST(SilentEngine, ABegunAnswerGoesOnWithoutAnyOtherEngine)
{
  Start(1, MakeEvent(1), std::chrono::milliseconds(1200), Refuse);
  CheckAllEventsOnce(Ask("/stream/x"));
}

TEST(SilentEngine, ABegunAnswerGoesOnAfterItsRouteWasRemoved)
{
  Start(2, MakeEvent(1), std::chrono::milliseconds(1200), Refuse);
  const auto caller = m_fixture->Connect();
  caller->Send(MakeRequest(
    "POST", "/stream/x", kStreamHeader + "Connection: close\r\n", "prompt"));
  CHECK(
    m_fixture->RunUntil([&] { return !EventsOf(caller->Received()).empty(); }));
  m_fixture->PutConfigWithoutModel(2);
  CHECK(m_fixture->RunUntil([&] { return caller->IsClosed(); }));
  CheckAllEventsOnce(caller->Received());
}

TEST(SilentEngine, AnAnswerThatHasNotBegunGoesOnThoughTheOtherEnginesRefuse)
{
  Start(2, "", std::chrono::milliseconds(3000), Refuse);
  CheckAllEventsOnce(Ask("/stream/x"));
}

TEST(SilentEngine, ABegunAnswerGoesOnThoughTheOtherEngineIsSilentToo)
{
  Start(2,
        MakeEvent(1),
        std::chrono::milliseconds(1200),
        [](const HttpRequest&) { return std::vector<StubStep>{ Hang() }; });
  CheckAllEventsOnce(Ask("/stream/x"));
}

TEST(SilentEngine, ABegunAnswerIsContinuedElsewhereWhereAnotherEngineTakesIt)
{
  Start(2, MakeEvent(1), std::chrono::milliseconds(6000), StreamAll);
  const TimePoint before = BootClock::now();
  CheckAllEventsOnce(Ask("/stream/x"));
  CHECK(BootClock::now() - before < std::chrono::milliseconds(3000));
}

TEST(SilentEngine, ASafeAnswerGoesOnThoughTheOtherEndpointRefuses)
{
  m_fixture->PutConfig();
  for (int i = 0; i < 2; ++i) {
    m_fixture->AddPlainEndpoint().SetScript(
      [this](const HttpRequest& aRequest) -> std::vector<StubStep> {
        if (m_calls++ != 0) {
          return Refuse(aRequest);
        }
        const std::string answer =
          MakeAnswer(AttemptIdOf(aRequest), 200, "whole body");
        const std::size_t half = answer.size() - 5;
        return { Send(answer.substr(0, half)),
                 Pause(std::chrono::milliseconds(400)),
                 Send(answer.substr(half)) };
      });
  }
  m_fixture->Start();
  const std::string answer = m_fixture->SendRequest("GET", "/safe/x");
  CHECK_EQUAL(200, StatusOf(answer));
  CHECK(answer.ends_with("\r\n\r\nwhole body"));
}

TEST(SilentEngine, AnAnswerRefusedBeforeItFellSilentGoesOn)
{
  m_fixture->PutConfig();
  int calls = 0;
  const StubEndpoint* silent = nullptr;
  for (int i = 0; i < 2; ++i) {
    StubEndpoint& engine = m_fixture->AddEngine(0, 4);
    engine.SetScript([&, self = &engine](
                       const HttpRequest& aRequest) -> std::vector<StubStep> {
      if (m_isSilent && silent == self) {
        return { Await([this] { return !m_isSilent; }), CloseNow() };
      }
      if (aRequest.target() == "/parsleycove/report") {
        return WithEngineState(StreamAll)(aRequest);
      }
      if (++calls != 2) {
        return Refuse(aRequest);
      }
      silent = self;
      m_isSilent = true;
      return { Pause(std::chrono::milliseconds(1200)),
               Await([this] {
                 m_isSilent = false;
                 return true;
               }),
               Send(MakeStreamHead(AttemptIdOf(aRequest)) + MakeEvent(1) +
                    MakeEvent(2) + MakeEvent(3) + MakeEvent(4) + MakeEvent(5) +
                    MakeStreamEnd()) };
    });
  }
  m_fixture->Start();
  CheckAllEventsOnce(Ask("/stream/x"));
}
