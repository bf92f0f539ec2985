// Tests of the leader's orders: repeats, late reports, losses, other leaders.
#include <algorithm>

#include "Placement/PlacementTracker.h"
#include "Routing/EngineFleet.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1000 + aSeconds)));
}

} // namespace

// clang-format off
TEST_GROUP(PlacementDesk)
{
  const LayeredModel m_model = MakeModel();
  std::vector<LayoutHost> m_hosts = MakeHosts(UsualGroups());
  PlacementDesk m_desk;

  std::vector<DueOrder> FindDue(double aSeconds)
  {
    return m_desk.FindDue(At(aSeconds), m_model, MakeEngines(m_hosts));
  }
  std::vector<RunnerPtr> MakeEnginesWithSuspect(const std::string& aId) const
  {
    auto engines = MakeEngines(m_hosts);
    auto& lost = *std::find_if(engines.begin(), engines.end(),
      [&](const auto& aEngine) { return aEngine->m_id == aId; });
    boost::intrusive_ptr<Runner> suspected(new Runner(*lost));
    suspected->m_isSuspected = true;
    lost = suspected;
    return engines;
  }
  // What was ordered is reported as held.
  void CarryOut(const std::vector<DueOrder>& aOrders)
  {
    for (const DueOrder& order : aOrders) {
      ApplyOrders(m_hosts, { { order.m_engine->m_id, 1, order.m_span } });
    }
  }
};
// clang-format on

TEST(PlacementDesk, WaitsUntilNoFurtherEngineComes)
{
  CHECK_EQUAL(0U, FindDue(0).size());
  CHECK_EQUAL(0U, FindDue(0.5).size());
  CHECK_EQUAL(m_hosts.size(), FindDue(0.8).size());
}

TEST(PlacementDesk, GivesEachOrderOnce)
{
  FindDue(0);
  FindDue(1);
  CHECK_EQUAL(0U, FindDue(2).size());
}

TEST(PlacementDesk, RepeatsTheSameOrderWhereNoAnswerCame)
{
  FindDue(0);
  const auto orders = FindDue(1);
  m_desk.NoteOutcome(At(1), *orders[0].m_engine, OrderOutcome::Unknown);
  CHECK_EQUAL(0U, FindDue(4).size());
  const auto again = FindDue(5.5);
  CHECK_EQUAL(1U, again.size());
  STRCMP_EQUAL(orders[0].m_engine->m_id.c_str(),
               again[0].m_engine->m_id.c_str());
  CHECK(orders[0].m_span == again[0].m_span);
}

TEST(PlacementDesk, OrdersNothingOnceAllIsReported)
{
  FindDue(0);
  CarryOut(FindDue(1));
  CHECK_EQUAL(0U, FindDue(60).size());
}

TEST(PlacementDesk, ASuspectedEngineIsReplacedAfterItsNextReportIsOverdue)
{
  FindDue(0);
  CarryOut(FindDue(1));
  // Its neighbours have room for its layers.
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  CHECK_EQUAL(0U, m_desk.FindDue(At(2), m_model, engines).size());
  CHECK_EQUAL(0U, m_desk.FindDue(At(3.5), m_model, engines).size());
  CHECK_FALSE(m_desk.FindDue(At(3.7), m_model, engines).empty());
}

// Load pattern: an engine of a zone's only chain crashes at the peak, and the
// zone serves nobody until another one has its layers.
TEST(PlacementDesk, AnEngineThatDoesNotAnswerTheLeaderIsReplacedAtOnce)
{
  FindDue(0);
  CarryOut(FindDue(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  CHECK_EQUAL(0U, m_desk.FindDue(At(2), m_model, engines).size());
  const auto unsure = m_desk.FindUnsure(At(2), engines);
  CHECK_EQUAL(1U, unsure.size());
  STRCMP_EQUAL("b-small-2", unsure[0]->m_id.c_str());
  m_desk.NotePresence(*unsure[0], EnginePresence::Gone);
  CHECK_EQUAL(0U, m_desk.FindUnsure(At(2.2), engines).size());
  CHECK_EQUAL(0U, m_desk.FindDue(At(2.3), m_model, engines).size());
  CHECK_FALSE(m_desk.FindDue(At(2.5), m_model, engines).empty());
}

// One question may be lost, so the second one decides.
TEST(PlacementDesk, AnEngineThatIsSilentOnceIsAskedAgain)
{
  FindDue(0);
  CarryOut(FindDue(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  const auto unsure = m_desk.FindUnsure(At(2), engines);
  CHECK_EQUAL(0U, m_desk.FindUnsure(At(2.2), engines).size());
  m_desk.NotePresence(*unsure[0], EnginePresence::Silent);
  CHECK_EQUAL(0U, m_desk.FindDue(At(2.5), m_model, engines).size());
  CHECK_EQUAL(1U, m_desk.FindUnsure(At(2.5), engines).size());
  m_desk.NotePresence(*unsure[0], EnginePresence::Silent);
  CHECK_FALSE(m_desk.FindDue(At(2.6), m_model, engines).empty());
}

// Load pattern: a gateway that is cut off from an engine reports it dead.
TEST(PlacementDesk, AnEngineThatAnswersTheLeaderKeepsItsLayersUntilItsReport)
{
  FindDue(0);
  CarryOut(FindDue(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  for (const double time : { 2.0, 2.5, 3.0, 3.5 }) {
    for (const RunnerPtr& engine : m_desk.FindUnsure(At(time), engines)) {
      m_desk.NotePresence(*engine, EnginePresence::Answers);
    }
    CHECK_EQUAL(0U, m_desk.FindDue(At(time), m_model, engines).size());
  }
}

// Load pattern: a crash of three to five seconds in a zone that only just holds
// the model. What closes its gap moves all borders.
TEST(PlacementDesk, BordersMoveOnlyOnceALossLasts)
{
  FindDue(0);
  CarryOut(FindDue(1));
  const auto engines = MakeEnginesWithSuspect("c-fast-1");
  CHECK_EQUAL(0U, m_desk.FindDue(At(2), m_model, engines).size());
  CHECK_EQUAL(0U, m_desk.FindDue(At(7.4), m_model, engines).size());
  CHECK_FALSE(m_desk.FindDue(At(7.6), m_model, engines).empty());
}

TEST(PlacementDesk, AnEngineThatStartedAgainGetsItsLayersAgain)
{
  FindDue(0);
  CarryOut(FindDue(1));
  m_hosts[0].m_incarnation = 2;
  m_hosts[0].m_holds = {};
  const auto orders = FindDue(3);
  CHECK_EQUAL(1U, orders.size());
  CHECK_EQUAL(2U, orders[0].m_engine->m_incarnation);
}

TEST(PlacementDesk, ANewLeaderKeepsWhatEnginesHold)
{
  FindDue(0);
  CarryOut(FindDue(1));
  m_desk.Reset();
  FindDue(10);
  CHECK_EQUAL(0U, FindDue(11).size());
}
