// Tests that requests carry their urgency to the endpoints where the
// configuration distinguishes it, and only there.
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

} // namespace

// clang-format off
TEST_GROUP(UrgencyForward)
{
  ForwardFixture m_fixture;
  StubEndpoint* m_engine = nullptr;

  void Start(const std::string& aAccounts)
  {
    m_fixture.PutConfig(1, aAccounts);
    m_engine = &m_fixture.AddEngine(0, 4);
    m_engine->SetScript(WithEngineState(StreamAll));
    m_fixture.Start();
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
