// Tests of requests whose prompt has a part that crashes every engine which
// begins to answer it.
#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(CrashingPrompt)
{
  std::unique_ptr<ForwardFixture> m_fixture = std::make_unique<ForwardFixture>();
  std::vector<StubEndpoint*> m_engines;
  int m_crashes = 0;
  int m_requests = 0;

  void teardown() override { m_fixture.reset(); }

  // Starts engines that hold all layers and end when they begin to answer a
  // request with the part "bad".
  void Start(int aCount)
  {
    m_fixture->PutConfig();
    for (int i = 0; i < aCount; ++i) {
      m_engines.push_back(&m_fixture->AddEngine(0, 4));
    }
    for (StubEndpoint* engine : m_engines) {
      engine->SetScript(
        WithEngineState([this, engine](const HttpRequest& aRequest) {
          if (!IsCrashing(aRequest)) {
            return StreamAll(aRequest);
          }
          ++m_crashes;
          return std::vector<StubStep>{
            Send(MakeStreamHead(AttemptIdOf(aRequest))),
            Await([engine] { engine->Stop(); return true; }), CloseNow() };
        }));
    }
    m_fixture->Start();
  }

  static bool IsCrashing(const HttpRequest& aRequest)
  {
    const std::string parts(aRequest["Prompt-Prefix"]);
    return parts.find("bad:") != std::string::npos;
  }

  // Each request has an attempt id and a last part of its own.
  std::string Ask(const std::string& aParts)
  {
    const std::string id = "b" + std::to_string(++m_requests);
    const auto caller = m_fixture->Connect();
    caller->Send(
      "POST /stream/x HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: " + id +
      "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer k1\r\n"
      "Token-Usage: 100,40\r\nModel: m\r\nConnection: close\r\n"
      "Prompt-Prefix: " + aParts + "," + id + "f:60\r\n\r\n");
    return m_fixture->RunUntil([&] { return caller->IsClosed(); })
      ? caller->Received() : "no answer";
  }
};
// clang-format on

TEST(CrashingPrompt, IsNotSentToFurtherEnginesOnceFiveHaveCrashed)
{
  constexpr int kEngines = 24;
  constexpr int kCrashesBefore = 5;
  constexpr int kMaxMore = 3;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  while (m_crashes < kCrashesBefore) {
    Ask("5aed:40,bad:20");
  }
  const int before = m_crashes;
  for (int i = 0; i < 12; ++i) {
    Ask("5aed:40,bad:20");
  }
  CHECK(m_crashes - before <= kMaxMore);
}

TEST(CrashingPrompt, SoundRequestsWithItsOtherPartsAreServed)
{
  constexpr int kEngines = 16;
  Start(kEngines);
  CheckAllEventsOnce(Ask("5aed:40"));
  for (int i = 0; i < 8; ++i) {
    Ask("5aed:40,bad:20");
    CheckAllEventsOnce(Ask("5aed:40"));
  }
  CheckAllEventsOnce(Ask("5aed:40,cafe:20"));
  CHECK_EQUAL(200, StatusOf(Ask("5aed:40")));
}
