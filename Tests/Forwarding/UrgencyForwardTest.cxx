// Tests that requests carry their urgency to the endpoints where the
// configuration distinguishes it, and only there.
#include <algorithm>
#include <memory>

#include "Forwarding/ForwardFixture.h"
#include "Forwarding/StreamScripts.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr char kUnequalAccounts[] =
  R"({"name":"account-1","api-keys":["k1"],"priority":1},)"
  R"({"name":"account-2","api-keys":["k2"],"priority":0})";
constexpr char kEqualAccounts[] =
  R"({"name":"account-1","api-keys":["k1"],"priority":1},)"
  R"({"name":"account-2","api-keys":["k2"],"priority":1})";

constexpr char kQueuedFirst[] =
  "parsleycove_queued_by_level_total{level=\"0\"}";
constexpr char kQueuedSecond[] =
  "parsleycove_queued_by_level_total{level=\"1\"}";
// Nearly all tokens that the engine has memory for.
constexpr int kMostTokens = 905000;

} // namespace

// clang-format off
TEST_GROUP(UrgencyForward)
{
  ForwardFixture m_fixture;
  StubEndpoint* m_engine = nullptr;
  bool m_mayEnd = false;

  void Start(const std::string& aAccounts)
  {
    m_fixture.PutConfig(1, aAccounts);
    m_engine = &m_fixture.AddEngine(0, 4);
    m_engine->SetScript(WithEngineState(StreamAll));
    m_fixture.Start();
  }
  // Fills the engine with a stream of the second account.
  std::unique_ptr<ForwardFixture::Caller> FillEngine()
  {
    m_engine->SetScript(WithEngineState([this](const HttpRequest& aRequest) {
      return std::vector<StubStep>{ Send(MakeStreamHead(AttemptIdOf(aRequest))),
                                    Send(MakeEvent(1)),
                                    Await([this] { return m_mayEnd; }),
                                    Send(MakeEvent(2) + MakeStreamEnd()) };
    }));
    auto caller = Call("big", "k2", kMostTokens);
    CHECK(m_fixture.RunUntil(
      [&] { return EventsOf(caller->Received()).size() == 1; }));
    return caller;
  }
  std::unique_ptr<ForwardFixture::Caller> Call(const std::string& aId,
                                               const std::string& aKey,
                                               int aTokens = kMostTokens / 9,
                                               const std::string& aPath =
                                                 "/stream/x")
  {
    auto caller = m_fixture.Connect();
    caller->Send("POST " + aPath + " HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: " +
                 aId + "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer " + aKey +
                 "\r\nToken-Usage: " + std::to_string(aTokens) +
                 ",40\r\nContent-Length: 0\r\n\r\n");
    return caller;
  }
  // Returns the ids of the requests that reached the engine, in order.
  std::string Attempts() const
  {
    std::string ids;
    for (const HttpRequest& request : m_engine->Requests()) {
      if (const std::string id = AttemptIdOf(request); !id.empty()) {
        ids += (ids.empty() ? "" : " ") + id;
      }
    }
    return ids;
  }
  std::string Ask()
  {
    return m_fixture.SendRequest("POST", "/stream/x", kStreamHeader, "prompt");
  }
};
// clang-format on

TEST(UrgencyForward, ARequestOfAGradedServiceCarriesItsLevel)
{
  Start(kUnequalAccounts);
  CheckAllEventsOnce(Ask());
  CHECK(m_engine->Requests()[0]["Request-Priority"] == "4");
}

TEST(UrgencyForward, ARequestOfAServiceWithOneRankCarriesNone)
{
  Start(kEqualAccounts);
  CheckAllEventsOnce(Ask());
  CHECK_EQUAL(0U, m_engine->Requests()[0].count("Request-Priority"));
}

TEST(UrgencyForward, AResumedStreamGoesFirstAtAnyLevel)
{
  int calls = 0;
  Start(kUnequalAccounts);
  m_engine->SetScript(WithEngineState([&](const HttpRequest& aRequest) {
    return ++calls == 1 ? StreamPart(aRequest, CloseNow())
                        : StreamAll(aRequest);
  }));
  CheckAllEventsOnce(Ask());
  CHECK_EQUAL(2U, AttemptsAt(*m_engine));
  CHECK(m_engine->Requests().back()["Request-Priority"] == "2");
}

TEST(UrgencyForward, AFreedPlaceGoesToTheMostUrgentRequestThatWaits)
{
  m_fixture.m_streamTargetMs = 10000;
  Start(kUnequalAccounts);
  const auto big = FillEngine();
  const auto later = Call("later", "k1");
  CHECK(
    m_fixture.RunUntil([&] { return m_fixture.MetricOf(kQueuedSecond) == 1; }));
  const auto urgent = Call("urgent", "k2");
  CHECK(
    m_fixture.RunUntil([&] { return m_fixture.MetricOf(kQueuedFirst) == 1; }));
  m_mayEnd = true;
  CHECK(m_fixture.RunUntil([&] { return AttemptsAt(*m_engine) == 3; }));
  STRCMP_EQUAL("big urgent later", Attempts().c_str());
}

TEST(UrgencyForward, ARefusalTellsWhoWasPreferred)
{
  Start(kUnequalAccounts);
  const auto big = FillEngine();
  const auto later = Call("later", "k1");
  CHECK(m_fixture.RunUntil([&] { return !later->Received().empty(); }));
  CHECK_EQUAL(503, StatusOf(later->Received()));
  CHECK(RetryAfterOf(later->Received()) > 0);
  CHECK(m_fixture.m_sink.Has(
    { "request_refused", "\"cause\":\"gave_way\"", "\"level\":1" }));
}

TEST(UrgencyForward, ARefusalByAServiceWithOneRankNamesFullPaths)
{
  Start(kEqualAccounts);
  const auto big = FillEngine();
  const auto later = Call("later", "k1");
  CHECK(m_fixture.RunUntil([&] { return !later->Received().empty(); }));
  CHECK(m_fixture.m_sink.Has({ "request_refused", "\"paths_full\"" }));
  CHECK_FALSE(m_fixture.m_sink.Has({ "\"level\":" }));
}

// Failure: an engine that serves a stage of many streams is lost. Its
// replacement reads their prompts one after the other.
TEST(UrgencyForward, TheMostUrgentStreamsLeaveALostStageFirst)
{
  constexpr std::size_t kOrdersAtOnce = 3;
  std::vector<std::string> orders;
  m_fixture.PutConfig(1, kUnequalAccounts);
  m_engine = &m_fixture.AddEngine(0, 2);
  StubEndpoint& lost = m_fixture.AddEngine(2, 4);
  lost.SetScript(WithEngineState(StreamAll));
  m_engine->SetScript([&](const HttpRequest& aRequest) {
    if (aRequest.target() == kOrderTarget) {
      orders.push_back(aRequest.body());
      return std::vector<StubStep>{ Send(
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n") };
    }
    return WithEngineState([](const HttpRequest& aStream) {
      return std::vector<StubStep>{ Send(MakeStreamHead(AttemptIdOf(aStream))),
                                    Send(MakeEvent(1)),
                                    Hang() };
    })(aRequest);
  });
  m_fixture.Start();
  // Streams that may not be resumed are never begun anew elsewhere.
  std::vector<std::unique_ptr<ForwardFixture::Caller>> callers;
  for (const char* id : { "l1", "l2", "l3", "l4", "urgent" }) {
    const std::string key = id[0] == 'u' ? "k2" : "k1";
    callers.push_back(Call(id, key, 1, "/once/x"));
    CHECK(m_fixture.RunUntil(
      [&] { return EventsOf(callers.back()->Received()).size() == 1; }));
  }
  StubEndpoint& spare = m_fixture.AddEngine(2, 4);
  spare.SetScript(WithEngineState(StreamAll));
  // Applies the new endpoint.
  CHECK_EQUAL(503, StatusOf(m_fixture.SendRequest("GET", "/safe/x")));
  lost.Stop();
  CHECK(m_fixture.RunUntil([&] { return orders.size() >= callers.size(); }));
  CHECK(std::any_of(orders.begin(),
                    orders.begin() + kOrdersAtOnce,
                    [](const std::string& aOrder) {
                      return aOrder.find("urgent") != std::string::npos;
                    }));
}
