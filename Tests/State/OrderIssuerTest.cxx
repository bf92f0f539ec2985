// Tests of fencing on the sender's side.
#include "State/OrderIssuer.h"

#include "State/Commands.h"
#include "State/ConfigState.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kTerm = 4;

TimePoint
At(Duration aTime)
{
  return TimePoint(1h + aTime);
}

OrderIssuerOptions
MakeOptions()
{
  OrderIssuerOptions options;
  options.m_leaderLease = 1s;
  options.m_maxOrderFlight = 5s;
  options.m_maxLoads = 2;
  options.m_repeatAfter = 2s;
  return options;
}

} // namespace

TEST_GROUP(OrderIssuer)
{
  ConfigState m_config;
  std::uint64_t m_index = 0;
  OrderIssuer m_issuer{ MakeOptions() };

  void setup() override
  {
    m_config.Apply(++m_index,
                   MakeChange("model",
                              0,
                              R"({"put_models":[{"name":"briefing",)"
                              R"("version":"1","layers":8}]})"));
    m_issuer.StartTerm(At(0s), kTerm);
  }
  void AddEngine(const std::string& aId, bool aChecksFencing)
  {
    state::EndpointT engine = MakeEngine(aId, 1);
    engine.checks_fencing = aChecksFencing;
    m_config.Apply(++m_index, MakeAnnounce(engine));
  }
  void Issue(const std::string& aId, const std::string& aEndpoint)
  {
    m_config.Apply(++m_index, MakeIssue(MakeOrder(aId, aEndpoint, 1, kTerm)));
    Follow();
  }
  void Follow()
  {
    m_issuer.Follow(m_config.Image(), { "c", "b" });
  }
  // Ids of the orders to be sent now.
  std::string Orders(Duration aTime, bool aLease = true)
  {
    std::string result;
    for (const auto& order : m_issuer.TakeActions(At(aTime), aLease).m_orders) {
      CHECK_EQUAL(kTerm, order.term);
      result += (result.empty() ? "" : " ") + order.id;
    }
    return result;
  }
  void ReadBack(Duration aTime, const std::string& aEndpoint, bool aCarriedOut)
  {
    EngineReadback readback;
    readback.m_incarnation = 1;
    readback.m_model = "briefing";
    readback.m_version = "1";
    readback.m_lastLayer = aCarriedOut ? 3 : 7;
    m_issuer.NoteReadback(At(aTime), aEndpoint, readback);
  }
};

TEST(OrderIssuer, NothingWithoutLeaseOrTerm)
{
  AddEngine("a", true);
  Issue("one", "a");
  STRCMP_EQUAL("", Orders(0s, false).c_str());
  STRCMP_EQUAL("one", Orders(0s).c_str());
  m_issuer.EndTerm();
  Follow();
  STRCMP_EQUAL("", Orders(60s).c_str());
}

TEST(OrderIssuer, AnUnfencedEngineWaitsOutTheOldLeaderAndIsReadBack)
{
  AddEngine("a", false);
  Issue("one", "a");
  CHECK_TRUE(m_issuer.TakeActions(At(5999ms), true).m_readbacks.empty());
  CHECK_TRUE(At(6s) == m_issuer.NextDeadline(At(1s)));
  const OrderActions actions = m_issuer.TakeActions(At(6s), true);
  CHECK_EQUAL(1, actions.m_readbacks.size());
  CHECK_TRUE(actions.m_orders.empty());
  ReadBack(7s, "a", false);
  STRCMP_EQUAL("one", Orders(7s).c_str());
}

// The old leader's order reaches the engine at any time that its lease and
// the order's longest flight allow; the engine takes whatever comes last.
TEST(OrderIssuer, AnOldOrderUnderWayDoesNotWin)
{
  AddEngine("a", false);
  Issue("new", "a");
  for (Duration late = 0s; late <= 6s; late += 500ms) {
    OrderIssuer issuer(MakeOptions());
    issuer.StartTerm(At(0s), kTerm);
    issuer.Follow(m_config.Image(), {});
    std::string held;
    for (Duration time = 0s; time <= 10s; time += 500ms) {
      const bool old = time == late;
      held = old ? "old" : held;
      const OrderActions actions = issuer.TakeActions(At(time), true);
      if (!actions.m_readbacks.empty()) {
        EngineReadback readback;
        readback.m_incarnation = 1;
        issuer.NoteReadback(At(time), "a", readback);
      }
      if (!actions.m_orders.empty()) {
        held = actions.m_orders.front().id;
      }
    }
    STRCMP_EQUAL("new", held.c_str());
  }
}

TEST(OrderIssuer, AnUnansweredOrderBlocksItsUnfencedEngine)
{
  AddEngine("a", false);
  Issue("one", "a");
  m_issuer.TakeActions(At(6s), true);
  ReadBack(6s, "a", false);
  STRCMP_EQUAL("one", Orders(6s).c_str());
  m_issuer.NoteFailed("one", m_index);
  Issue("two", "a");
  Orders(7s);
  ReadBack(7s, "a", false);
  STRCMP_EQUAL("", Orders(10900ms).c_str());
  STRCMP_EQUAL("two", Orders(11s).c_str());
  m_issuer.NoteAccepted("two", m_index);
  Issue("three", "a");
  Orders(12s);
  ReadBack(12s, "a", false);
  STRCMP_EQUAL("three", Orders(12s).c_str());
}

TEST(OrderIssuer, LoadsAreBoundedAndTheMostNeededComeFirst)
{
  for (const char* id : { "a", "b", "c", "d" }) {
    AddEngine(id, true);
    Issue(std::string("on-") + id, id);
  }
  STRCMP_EQUAL("on-c on-b", Orders(0s).c_str());
  STRCMP_EQUAL("", Orders(1s).c_str());
  ReadBack(1s, "c", true);
  STRCMP_EQUAL("on-a", Orders(1s).c_str());
  CHECK_EQUAL(1, m_issuer.TakeFinished(At(1s)).size());
  CHECK_EQUAL(0, m_issuer.TakeFinished(At(2s)).size());
  CHECK_EQUAL(1, m_issuer.TakeFinished(At(3s)).size());
}

TEST(OrderIssuer, ASupersededOrderIsDroppedAndAFailedOneRepeated)
{
  AddEngine("a", true);
  Issue("one", "a");
  STRCMP_EQUAL("one", Orders(0s).c_str());
  m_issuer.NoteFailed("one", m_index);
  STRCMP_EQUAL("", Orders(4s).c_str());
  STRCMP_EQUAL("one", Orders(5s).c_str());
  Issue("two", "a");
  STRCMP_EQUAL("two", Orders(6s).c_str());
  m_issuer.NoteAccepted("two", m_index);
  STRCMP_EQUAL("", Orders(60s).c_str());
}

TEST(OrderIssuer, AReadbackOfAnotherIncarnationOrALaterTermIsIgnored)
{
  AddEngine("a", true);
  Issue("one", "a");
  EngineReadback readback;
  readback.m_incarnation = 2;
  readback.m_model = "briefing";
  readback.m_version = "1";
  readback.m_lastLayer = 3;
  m_issuer.NoteReadback(At(0s), "a", readback);
  readback.m_incarnation = 1;
  readback.m_term = kTerm + 1;
  m_issuer.NoteReadback(At(0s), "a", readback);
  CHECK_TRUE(m_issuer.TakeFinished(At(0s)).empty());
  readback.m_term = kTerm;
  m_issuer.NoteReadback(At(0s), "a", readback);
  CHECK_EQUAL(1, m_issuer.TakeFinished(At(0s)).size());
}
