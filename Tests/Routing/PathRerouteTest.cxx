// Tests of replacing the lost stages of a path.
#include <algorithm>

#include "Routing/EngineFleet.h"
#include "Routing/PathSelector.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::uint32_t kTokens = 900;

TimePoint
Now()
{
  return TimePoint(std::chrono::seconds(1000));
}

void
CheckRunsEveryLayerOnce(const StagePath& aPath)
{
  std::uint32_t next = 0;
  for (const PathStage& stage : aPath.m_stages) {
    CHECK_EQUAL(next, stage.m_span.m_first);
    next = stage.m_span.m_end;
  }
  CHECK_EQUAL(80U, next);
}

} // namespace

// clang-format off
TEST_GROUP(PathReroute)
{
  const LayeredModel m_model = MakeModel();
  std::vector<RunnerPtr> m_engines;
  PathSelector m_selector{ "a" };
  StagePathPtr m_path;

  void setup() override
  {
    // Every layer is held twice in zone a.
    Place({ { "a", "fast", 2 }, { "a", "middle", 14 }, { "b", "middle", 10 } });
  }
  void Place(const std::vector<EngineGroup>& aGroups)
  {
    std::vector<LayoutHost> hosts = MakeHosts(aGroups);
    ApplyOrders(hosts, LayerLayout().Plan(m_model, hosts));
    m_engines = MakeEngines(hosts);
    m_selector.SetEngines(m_model, m_engines);
    m_path = m_selector.Choose(Now(), { kTokens, 1, {}, {} }).m_path;
  }
  void FailStage(std::size_t aStage) const
  {
    m_path->m_stages[aStage].m_runner->m_load->Suspect(Now(),
      std::chrono::seconds(5));
  }
  StagePathPtr Reroute(const RerouteRequest& aRequest = { kTokens, {}, 7 }) const
  {
    return m_selector.Reroute(Now(), *m_path, aRequest);
  }
};
// clang-format on

TEST(PathReroute, SoundStagesStayAndOnlyTheLostOneIsReplaced)
{
  FailStage(3);
  const StagePathPtr path = Reroute();
  CheckRunsEveryLayerOnce(*path);
  CHECK_EQUAL(0U, path->m_crossings);
  CHECK_FALSE(path->Uses(m_path->m_stages[3].m_runner->m_id));
  for (std::size_t i = 0; i < m_path->m_stages.size(); ++i) {
    const PathStage& before = m_path->m_stages[i];
    const bool isKept = std::any_of(
      path->m_stages.begin(), path->m_stages.end(), [&](const PathStage& aNow) {
        return aNow.m_runner == before.m_runner && aNow.m_span == before.m_span;
      });
    CHECK(isKept == (i != 3));
  }
}

TEST(PathReroute, TwoLostStagesInARowAreOneGap)
{
  FailStage(2);
  FailStage(3);
  const StagePathPtr path = Reroute();
  CheckRunsEveryLayerOnce(*path);
  CHECK_FALSE(path->Uses(m_path->m_stages[2].m_runner->m_id));
  CHECK_FALSE(path->Uses(m_path->m_stages[3].m_runner->m_id));
}

TEST(PathReroute, ThereIsNoneWithoutTheFirstStage)
{
  FailStage(0);
  CHECK(Reroute() == nullptr);
}

TEST(PathReroute, AnEngineThatRefusedIsNotAskedAgain)
{
  FailStage(3);
  RerouteRequest request{ kTokens, {}, 7 };
  for (int i = 0; i < 40; ++i) {
    const StagePathPtr path = m_selector.Reroute(Now(), *m_path, request);
    if (!path) {
      return;
    }
    for (const PathStage& stage : path->m_stages) {
      if (!m_path->Uses(stage.m_runner->m_id)) {
        const auto& excluded = request.m_excluded;
        CHECK(std::find(excluded.begin(),
                        excluded.end(),
                        stage.m_runner->m_id) == excluded.end());
        request.m_excluded.push_back(stage.m_runner->m_id);
      }
    }
  }
  FAIL("engines that refused were asked again");
}

TEST(PathReroute, AStageThatIsExcludedCountsAsLost)
{
  const std::string slow = m_path->m_stages[2].m_runner->m_id;
  const StagePathPtr path = Reroute({ kTokens, { slow }, 7 });
  CheckRunsEveryLayerOnce(*path);
  CHECK_FALSE(path->Uses(slow));
}

TEST(PathReroute, AnotherZoneStepsInWhereTheOwnOneCannot)
{
  Place({ { "a", "fast", 2 }, { "a", "middle", 6 }, { "b", "middle", 10 } });
  FailStage(m_path->m_stages.size() - 1);
  const StagePathPtr path = Reroute();
  CheckRunsEveryLayerOnce(*path);
  CHECK(path->m_crossings > 0);
}

// Load pattern: fifty streams lose a stage in the same moment, each gateway
// knows only its own. They do not all go to one engine.
TEST(PathReroute, StreamsSpreadOverTheEnginesThatCanStepIn)
{
  Place({ { "a", "fast", 2 }, { "a", "middle", 40 } });
  FailStage(3);
  std::vector<std::string> used;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const StagePathPtr path = Reroute({ kTokens, {}, seed * 7919 });
    for (const PathStage& stage : path->m_stages) {
      const std::string& id = stage.m_runner->m_id;
      if (!m_path->Uses(id) &&
          std::find(used.begin(), used.end(), id) == used.end()) {
        used.push_back(id);
      }
    }
  }
  CHECK(used.size() >= 3);
}

// An engine whose memory is taken is no help.
// What speaks for the repaired path and for beginning anew.
TEST(PathReroute, ARepairIsWeighedAgainstTheOtherPaths)
{
  m_path->First().m_load->RecordReport(Now(), 0, 100);
  FailStage(3);
  const StagePathPtr path = Reroute();
  const RerouteLoad load =
    m_selector.EstimateRerouteLoad(Now(), *m_path, *path, kTokens);
  DOUBLES_EQUAL(100, load.m_streams, 1);
  CHECK(load.m_paths >= 1);
  CHECK(load.m_replacementPrefillMs > 1);
  CHECK(load.m_restartPrefillMs >= load.m_replacementPrefillMs);
  CHECK(load.m_pathPrefillMs > load.m_restartPrefillMs);
}

TEST(PathReroute, FullEnginesDoNotStepIn)
{
  FailStage(3);
  const StagePathPtr before = Reroute();
  for (const PathStage& stage : before->m_stages) {
    if (!m_path->Uses(stage.m_runner->m_id)) {
      stage.m_runner->m_load->ReserveTokens(
        static_cast<std::int32_t>(stage.m_kvCapacityTokens));
    }
  }
  const StagePathPtr after = Reroute();
  for (const PathStage& stage : before->m_stages) {
    CHECK(m_path->Uses(stage.m_runner->m_id) || !after ||
          !after->Uses(stage.m_runner->m_id));
  }
}
