// Tests the leader's placement orders: retries, late reports, failed engines
// and changes of leader.
#include <algorithm>

#include "Placement/PlacementTracker.h"
#include "Routing/EngineFleet.h"

// Included last, since the leak detection of CppUTest redefines new.
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
    return m_tracker.CollectDueOrders(
      At(aSeconds), m_model, MakeEngines(m_hosts));
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
  // Makes the engines report the ordered layers as held.
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
  // The neighbouring engines have memory for the layers of b-small-2.
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2), m_model, engines).size());
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(3.5), m_model, engines).size());
  CHECK_FALSE(m_tracker.CollectDueOrders(At(3.7), m_model, engines).empty());
}

// Guards against a slow replacement at peak load: an engine of a zone's only
// chain crashes, and the zone serves no requests until another engine holds
// the layers.
TEST(PlacementTracker, AnEngineThatDoesNotAnswerTheLeaderIsReplacedAtOnce)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2), m_model, engines).size());
  const auto toProbe = m_tracker.CollectEnginesToProbe(At(2), engines);
  CHECK_EQUAL(1U, toProbe.size());
  STRCMP_EQUAL("b-small-2", toProbe[0]->m_id.c_str());
  m_tracker.RecordProbeResult(*toProbe[0], EngineProbeResult::Unreachable);
  CHECK_EQUAL(0U, m_tracker.CollectEnginesToProbe(At(2.2), engines).size());
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2.3), m_model, engines).size());
  CHECK_FALSE(m_tracker.CollectDueOrders(At(2.5), m_model, engines).empty());
}

// Guards against rebuilding sound engines: VMs that lost their links to all
// engines report them without end, and the engines answer the leader.
TEST(PlacementTracker, AnEngineThatAnswersTheLeaderKeepsItsLayers)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  for (double second = 2; second < 14; second += 0.2) {
    CHECK_EQUAL(
      0U, m_tracker.CollectDueOrders(At(second), m_model, engines).size());
    for (const RunnerPtr& engine :
         m_tracker.CollectEnginesToProbe(At(second), engines)) {
      m_tracker.RecordProbeResult(*engine, EngineProbeResult::Answered);
    }
  }
}

// Guards against replacing an engine over one lost probe: two probes without an
// answer confirm a failure.
TEST(PlacementTracker, AnEngineThatIsSilentOnceIsAskedAgain)
{
  CollectDueOrders(0);
  ReportAsHeld(CollectDueOrders(1));
  const auto engines = MakeEnginesWithSuspect("b-small-2");
  const auto toProbe = m_tracker.CollectEnginesToProbe(At(2), engines);
  CHECK_EQUAL(0U, m_tracker.CollectEnginesToProbe(At(2.2), engines).size());
  m_tracker.RecordProbeResult(*toProbe[0], EngineProbeResult::NoAnswer);
  CHECK_EQUAL(0U, m_tracker.CollectDueOrders(At(2.5), m_model, engines).size());
  CHECK_EQUAL(1U, m_tracker.CollectEnginesToProbe(At(2.5), engines).size());
  m_tracker.RecordProbeResult(*toProbe[0], EngineProbeResult::NoAnswer);
  CHECK_FALSE(m_tracker.CollectDueOrders(At(2.6), m_model, engines).empty());
}

// Guards against replacing a healthy engine: a gateway that is cut off from the
// engine reports it as failed, but the engine answers the leader.
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

// Guards against moving the layers of a whole zone for a crash of three to five
// seconds: in a zone that only just holds the model, covering the layers of the
// failed engine moves all layer borders.
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
