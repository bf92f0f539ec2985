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
TEST_GROUP(PlacementTracker)
{
  const LayeredModel m_model = MakeModel();
  std::vector<LayoutHost> m_hosts = MakeHosts(UsualGroups());
  PlacementTracker m_tracker;

  std::vector<DueOrder> CollectDueOrders(double aSeconds)
  {
    return m_tracker.CollectDueOrders(At(aSeconds), m_model, MakeEngines(m_hosts));
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
  void ReportAsHeld(const std::vector<DueOrder>& aOrders)
  {
    for (const DueOrder& order : aOrders) {
      ApplyOrders(m_hosts, { { order.m_engine->m_id, 1, order.m_span } });
    }
  }
};
// clang-format on

TEST(PlacementTracker, WaitsUntilNoFurtherEngineComes)
{
  CHECK_EQUAL(0U, CollectDueOrders(0).size());
  CHECK_EQUAL(0U, CollectDueOrders(0.5).size());
  CHECK_EQUAL(m_hosts.size(), CollectDueOrders(0.8).size());
}

TEST(PlacementTracker, GivesEachOrderOnce)
{
  CollectDueOrders(0);
  CollectDueOrders(1);
  CHECK_EQUAL(0U, CollectDueOrders(2).size());
}

TEST(PlacementTracker, RepeatsTheSameOrderWhereNoAnswerCame)
{
  CollectDueOrders(0);
  const auto orders = CollectDueOrders(1);
  m_tracker.RecordOrderOutcome(
    At(1), *orders[0].m_engine, OrderOutcome::Unknown);
  CHECK_EQUAL(0U, CollectDueOrders(4).size());
  const auto again = CollectDueOrders(5.5);
  CHECK_EQUAL(1U, again.size());
  STRCMP_EQUAL(orders[0].m_engine->m_id.c_str(),
               again[0].m_engine->m_id.c_str());
  CHECK(orders[0].m_span == again[0].m_span);
}

TEST(PlacementTracker, OrdersNothingOnceAllIsReported)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  CHECK_EQUAL(0U, CollectDueOrders(60).size());
}

TEST(PlacementTracker, ASuspectedEngineIsReplacedAfterItsNextReportIsOverdue)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  // Its neighbours have room for its layers.
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2), m_model, engines).size());
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(3.5), m_model, engines).size());
  CHECK_FALSE(m_tracker.CollectDueOrders(At(3.7), m_model, engines).empty());
}

// Load pattern: an engine of a zone's only chain crashes at the peak, and the
// zone serves nobody until another one has its layers.
TEST(PlacementTracker, AnEngineThatDoesNotAnswerTheLeaderIsReplacedAtOnce)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2), m_model, engines).size());
  const auto unsure = m_tracker.CollectEnginesToProbe(At(2), engines);
  CHECK_EQUAL(1U, unsure.size());
  STRCMP_EQUAL("b-small-2", unsure[0]->m_id.c_str());
  m_tracker.RecordProbeResult(*unsure[0], EngineProbeResult::Unreachable);
  CHECK_EQUAL(0U, m_tracker.CollectEnginesToProbe(At(2.2), engines).size());
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2.3), m_model, engines).size());
  CHECK_FALSE(m_tracker.CollectDueOrders(At(2.5), m_model, engines).empty());
}

// One question may be lost, so the second one decides.
TEST(PlacementTracker, AnEngineThatIsSilentOnceIsAskedAgain)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  const auto unsure = m_tracker.CollectEnginesToProbe(At(2), engines);
  CHECK_EQUAL(0U, m_tracker.CollectEnginesToProbe(At(2.2), engines).size());
  m_tracker.RecordProbeResult(*unsure[0], EngineProbeResult::NoAnswer);
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2.5), m_model, engines).size());
  CHECK_EQUAL(1U, m_tracker.CollectEnginesToProbe(At(2.5), engines).size());
  m_tracker.RecordProbeResult(*unsure[0], EngineProbeResult::NoAnswer);
  CHECK_FALSE(m_tracker.CollectDueOrders(At(2.6), m_model, engines).empty());
}

// Load pattern: a gateway that is cut off from an engine reports it dead.
TEST(PlacementTracker, AnEngineThatAnswersTheLeaderKeepsItsLayersUntilItsReport)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  for (const double time : { 2.0, 2.5, 3.0, 3.5 }) {
    for (const RunnerPtr& engine :
         m_tracker.CollectEnginesToProbe(At(time), engines)) {
      m_tracker.RecordProbeResult(*engine, EngineProbeResult::Answered);
    }
    CHECK_EQUAL(0U,
                m_tracker.CollectDueOrders(At(time), m_model, engines).size());
  }
}

// Load pattern: a crash of three to five seconds in a zone that only just holds
// the model. What closes its gap moves all borders.
TEST(PlacementTracker, BordersMoveOnlyOnceALossLasts)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("c-fast-1");
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2), m_model, engines).size());
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(7.4), m_model, engines).size());
  CHECK_FALSE(m_tracker.CollectDueOrders(At(7.6), m_model, engines).empty());
}

TEST(PlacementTracker, AnEngineThatStartedAgainGetsItsLayersAgain)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  m_hosts[0].m_incarnation = 2;
  m_hosts[0].m_holds = {};
  const auto orders = CollectDueOrders(3);
  CHECK_EQUAL(1U, orders.size());
  CHECK_EQUAL(2U, orders[0].m_engine->m_incarnation);
}

TEST(PlacementTracker, ANewLeaderKeepsWhatEnginesHold)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  m_tracker.Reset();
  CollectDueOrders(10);
  CHECK_EQUAL(0U, CollectDueOrders(11).size());
}
