// Tests that hold for every planner, and of the expected-completion planner.
#include "Routing/ExpectedCompletionPlanner.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "Routing/LeastOutstandingPlanner.h"
#include "Routing/RandomTwoChoicesPlanner.h"
#include "Routing/RoundRobinPlanner.h"
#include "Routing/TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

using PlannerPtr = std::unique_ptr<ChainPlanner>;

std::vector<PlannerPtr>
MakeAllPlanners()
{
  PlannerSettings handedOn;
  handedOn.m_transport = ChainTransport::Direct;
  std::vector<PlannerPtr> planners;
  planners.push_back(
    std::make_unique<ExpectedCompletionPlanner>(PlannerSettings{}, 1));
  planners.push_back(std::make_unique<ExpectedCompletionPlanner>(handedOn, 2));
  planners.push_back(std::make_unique<RoundRobinPlanner>());
  planners.push_back(std::make_unique<LeastOutstandingPlanner>());
  planners.push_back(std::make_unique<RandomTwoChoicesPlanner>(3));
  return planners;
}

ChainRequest
RequestFor(const std::string& aModel)
{
  ChainRequest request;
  request.m_model = aModel;
  request.m_promptTokens = 200;
  request.m_expectedTokens = 50;
  request.m_gatewayZone = "a";
  return request;
}

void
CheckCoversOnce(const Chain& aChain, std::uint32_t aLayers)
{
  std::uint32_t next = 0;
  for (const ChainStage& stage : aChain.m_stages) {
    CHECK_EQUAL(next, stage.m_firstLayer);
    CHECK_EQUAL(stage.m_runner->m_firstLayer, stage.m_firstLayer);
    CHECK_EQUAL(stage.m_runner->m_lastLayer, stage.m_lastLayer);
    next = stage.m_lastLayer + 1;
  }
  CHECK_EQUAL(aLayers, next);
}

// Overlapping, nested and dangling ranges, some Leaving, in three zones.
TestCluster
MakeMixedCluster(std::uint64_t aSeed, std::uint32_t aLayers)
{
  Random random(aSeed);
  TestCluster cluster;
  cluster.AddModel("m", aLayers);
  const char* zones[] = { "a", "b", "c" };
  for (int i = 0; i < 60; ++i) {
    const auto first = static_cast<std::uint32_t>(random.Below(aLayers));
    const auto length = static_cast<std::uint32_t>(1 + random.Below(4));
    const std::uint32_t last = std::min(first + length, aLayers) - 1;
    auto& engine = cluster.AddEngine("e" + std::to_string(i),
                                     "m",
                                     first,
                                     last,
                                     500 + random.Below(4000),
                                     zones[random.Below(3)]);
    if (random.Below(4) == 0) {
      engine.phase = state::EndpointPhase::Leaving;
    }
    if (random.Below(8) == 0) {
      engine.version = "v0";
    }
  }
  return cluster;
}

} // namespace

TEST_GROUP(ChainPlanner){};

TEST(ChainPlanner, EveryLayerOnceInOrderOverUsableRunnersOnly)
{
  constexpr std::uint32_t kLayers = 8;
  int planned = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const auto table = MakeMixedCluster(seed, kLayers).Build();
    ChainRequest request = RequestFor("m");
    request.m_excluded = { "e1", "e7", "e20" };
    for (const PlannerPtr& planner : MakeAllPlanners()) {
      const auto chain = planner->Plan(kTestStart, *table, request);
      if (!chain) {
        CHECK(planner->LastReason().m_code == ChainError::NoRunnerForLayer);
        continue;
      }
      ++planned;
      CheckCoversOnce(*chain, kLayers);
      for (const ChainStage& stage : chain->m_stages) {
        const Runner& runner = *stage.m_runner;
        const auto& excluded = request.m_excluded;
        CHECK(runner.m_phase == state::EndpointPhase::Ready);
        STRCMP_EQUAL("v1", runner.m_version.c_str());
        CHECK(std::find(excluded.begin(), excluded.end(), runner.m_id) ==
              excluded.end());
      }
    }
  }
  CHECK(planned > 100);
}

TEST(ChainPlanner, NamesTheLayerThatNoRunnerHolds)
{
  TestCluster cluster;
  cluster.AddModel("m", 6);
  cluster.AddEngine("e0", "m", 0, 1);
  cluster.AddEngine("e1", "m", 4, 5);
  const auto table = cluster.Build();
  for (const PlannerPtr& planner : MakeAllPlanners()) {
    CHECK_FALSE(planner->Plan(kTestStart, *table, RequestFor("m")).has_value());
    CHECK(planner->LastReason().m_code == ChainError::NoRunnerForLayer);
    CHECK_FALSE(planner->Plan(kTestStart, *table, RequestFor("x")).has_value());
    CHECK(planner->LastReason().m_code == ChainError::NoSuchModel);
  }
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  planner.Plan(kTestStart, *table, RequestFor("m"));
  STRCMP_CONTAINS("layer 2", planner.LastReason().m_text.c_str());
}

TEST(ChainPlanner, TakesNoRunnerFromWhichTheEndCannotBeReached)
{
  TestCluster cluster;
  cluster.AddModel("m", 6);
  cluster.AddEngine("e0", "m", 0, 2);
  cluster.AddEngine("e1", "m", 3, 5);
  for (int i = 0; i < 8; ++i) {
    cluster.AddEngine("dead-end" + std::to_string(i), "m", 0, 3, 100000);
  }
  const auto table = cluster.Build();
  for (const PlannerPtr& planner : MakeAllPlanners()) {
    const auto chain = planner->Plan(kTestStart, *table, RequestFor("m"));
    CHECK(chain.has_value());
    STRCMP_EQUAL("e0", chain->m_stages[0].m_runner->m_id.c_str());
  }
}

TEST_GROUP(ExpectedCompletionPlanner)
{
  static constexpr std::uint32_t kStages = 4;

  // kStages stages of one layer each with aWidth runners.
  void AddStages(std::uint32_t aWidth)
  {
    m_cluster.AddModel("m", kStages);
    for (std::uint32_t stage = 0; stage < kStages; ++stage) {
      for (std::uint32_t i = 0; i < aWidth; ++i) {
        m_cluster.AddEngine(
          std::to_string(stage) + "-" + std::to_string(i), "m", stage, stage);
      }
    }
  }

  TestCluster m_cluster;
};

TEST(ExpectedCompletionPlanner, TwelveGatewaysWithTheSameOldReportsDontHerd)
{
  constexpr std::size_t kGateways = 12;
  constexpr std::size_t kPlans = 40;
  constexpr std::uint32_t kWidth = 10;
  AddStages(kWidth);
  std::map<std::string, std::size_t> counts;
  for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
    // Each gateway has counts of its own and the same report: one is idle.
    const auto table = m_cluster.Build();
    for (const RunnerPtr& runner : table->Runners()) {
      const bool idle = runner->m_id.back() == '0';
      runner->m_load->RecordReport(kTestStart, 0, idle ? 1 : 6);
    }
    ExpectedCompletionPlanner planner(PlannerSettings{}, gateway);
    const TimePoint now = kTestStart + std::chrono::seconds(1);
    for (std::size_t i = 0; i < kPlans; ++i) {
      const auto chain = planner.Plan(now, *table, RequestFor("m"));
      for (const ChainStage& stage : chain->m_stages) {
        stage.m_runner->m_load->AddStream();
        ++counts[stage.m_runner->m_id];
      }
    }
  }
  std::size_t most = 0;
  for (const auto& [id, count] : counts) {
    most = std::max(most, count);
  }
  // An even share is 48; taking the least loaded of a report would give all
  // of the first plans of every gateway to one runner.
  CHECK(most <= 2 * kGateways * kPlans / kWidth);
  CHECK_EQUAL(std::size_t{ kWidth } * kStages, counts.size());
}

TEST(ExpectedCompletionPlanner, FirstPlansOfTwelveGatewaysSpread)
{
  AddStages(10);
  const auto table = m_cluster.Build();
  std::set<std::string> chosen;
  for (std::uint64_t gateway = 0; gateway < 12; ++gateway) {
    ExpectedCompletionPlanner planner(PlannerSettings{}, gateway);
    const auto chain = planner.Plan(kTestStart, *table, RequestFor("m"));
    chosen.insert(chain->m_stages[0].m_runner->m_id);
  }
  CHECK(chosen.size() >= 5);
}

TEST(ExpectedCompletionPlanner, AvoidsLinksThatCostAHundredTimesMore)
{
  PlannerSettings settings;
  settings.m_links.m_sameZone = std::chrono::microseconds(100);
  settings.m_links.m_otherZone = std::chrono::milliseconds(10);
  m_cluster.AddModel("m", 3);
  for (std::uint32_t layer = 0; layer < 3; ++layer) {
    // The faster runners of the layers are in zones b, a, b.
    const std::uint32_t rate = layer == 1 ? 4000 : 3000;
    const std::string id = std::to_string(layer);
    m_cluster.AddEngine("a" + id, "m", layer, layer, rate, "a");
    m_cluster.AddEngine("b" + id, "m", layer, layer, 7000 - rate, "b");
  }
  const auto table = m_cluster.Build();
  for (const auto transport :
       { ChainTransport::Relayed, ChainTransport::Direct }) {
    settings.m_transport = transport;
    ExpectedCompletionPlanner planner(settings, 1);
    for (int i = 0; i < 20; ++i) {
      const auto chain = planner.Plan(kTestStart, *table, RequestFor("m"));
      std::set<std::string> zones;
      for (const ChainStage& stage : chain->m_stages) {
        zones.insert(stage.m_runner->m_zone);
      }
      // Relayed, all stages are near; handed on, they are near each other.
      CHECK_EQUAL(1, zones.size());
      const bool relayed = transport == ChainTransport::Relayed;
      CHECK(!relayed || *zones.begin() == "a");
    }
  }
}

TEST(ExpectedCompletionPlanner, LeavesASlowRunnerAlone)
{
  AddStages(4);
  const auto table = m_cluster.Build();
  const Runner* slow = table->FindRunner("1-2");
  for (int i = 0; i < 50; ++i) {
    slow->m_load->StartStep(1);
    slow->m_load->FinishStep(kTestStart,
                             1,
                             std::chrono::milliseconds(90),
                             std::chrono::milliseconds(9));
  }
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  for (int i = 0; i < 100; ++i) {
    const auto chain = planner.Plan(kTestStart, *table, RequestFor("m"));
    CHECK(chain->m_stages[1].m_runner.get() != slow);
  }
}

TEST(ExpectedCompletionPlanner, TakesASuspectOnlyWhenThereIsNoOther)
{
  AddStages(2);
  const auto table = m_cluster.Build();
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  const Runner* suspect = table->FindRunner("2-0");
  suspect->m_load->RecordFailure(kTestStart);
  suspect->m_load->RecordFailure(kTestStart);
  for (int i = 0; i < 30; ++i) {
    const auto chain = planner.Plan(kTestStart, *table, RequestFor("m"));
    CHECK(chain->m_stages[2].m_runner.get() != suspect);
  }
  ChainRequest request = RequestFor("m");
  request.m_excluded = { "2-1" };
  const auto chain = planner.Plan(kTestStart, *table, request);
  CHECK(chain.has_value());
  CHECK(chain->m_stages[2].m_runner.get() == suspect);
}

TEST(ExpectedCompletionPlanner, AvoidsARunnerThatStoppedAnswering)
{
  AddStages(2);
  const auto table = m_cluster.Build();
  RunnerLoad& silent = *table->FindRunner("2-0")->m_load;
  silent.RecordSend(kTestStart);
  silent.StartStep(1);
  const TimePoint now = kTestStart + std::chrono::milliseconds(60);
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  for (int i = 0; i < 30; ++i) {
    const auto chain = planner.Plan(now, *table, RequestFor("m"));
    STRCMP_EQUAL("2-1", chain->m_stages[2].m_runner->m_id.c_str());
  }
}

TEST(ExpectedCompletionPlanner, AfterSilencePrefersRunnersThatAnsweredSince)
{
  AddStages(3);
  const auto table = m_cluster.Build();
  const TimePoint now = kTestStart + std::chrono::milliseconds(200);
  for (const RunnerPtr& runner : table->Runners()) {
    // In stage 3 nobody answered; elsewhere only the second runner.
    if (runner->m_id.back() == '1' && runner->m_firstLayer != 3) {
      runner->m_load->StartStep(1);
      runner->m_load->FinishStep(now, 1, Duration(1000), Duration::zero());
    }
  }
  ChainRequest request = RequestFor("m");
  request.m_excluded = { "0-0" };
  request.m_answeredSince = kTestStart;
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  CHECK(planner.Plan(now, *table, request).has_value());
  table->FindRunner("3-2")->m_load->StartStep(1);
  table->FindRunner("3-2")->m_load->FinishStep(
    now, 1, Duration(1000), Duration::zero());
  for (int i = 0; i < 20; ++i) {
    const auto chain = planner.Plan(now, *table, request);
    STRCMP_EQUAL("0-1", chain->m_stages[0].m_runner->m_id.c_str());
    STRCMP_EQUAL("3-2", chain->m_stages[3].m_runner->m_id.c_str());
  }
}

TEST(ExpectedCompletionPlanner, PrefixAffinityEndsWhereLoadBegins)
{
  AddStages(6);
  const auto table = m_cluster.Build();
  ChainRequest request = RequestFor("m");
  request.m_prefixHash = HashId("a common prompt");
  request.m_promptTokens = 4000;
  request.m_expectedTokens = 2;
  std::set<std::string> idle;
  for (std::uint64_t gateway = 0; gateway < 12; ++gateway) {
    ExpectedCompletionPlanner planner(PlannerSettings{}, gateway);
    const auto chain = planner.Plan(kTestStart, *table, request);
    idle.insert(chain->m_stages[0].m_runner->m_id);
  }
  CHECK_EQUAL(1, idle.size());
  // With streams that stay, the preferred runner gets a bounded share.
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  for (int i = 0; i < 120; ++i) {
    const auto chain = planner.Plan(kTestStart, *table, request);
    for (const ChainStage& stage : chain->m_stages) {
      stage.m_runner->m_load->AddStream();
    }
  }
  const Runner* preferred = table->FindRunner(*idle.begin());
  CHECK(preferred->m_load->Streams() >= 20);
  CHECK(preferred->m_load->Streams() <= 28);
}

TEST(ExpectedCompletionPlanner, RefusesAPassedDeadline)
{
  AddStages(1);
  ChainRequest request = RequestFor("m");
  request.m_deadline = kTestStart;
  ExpectedCompletionPlanner planner(PlannerSettings{}, 1);
  CHECK_FALSE(
    planner.Plan(kTestStart, *m_cluster.Build(), request).has_value());
  CHECK(planner.LastReason().m_code == ChainError::DeadlinePassed);
}
