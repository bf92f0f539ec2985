// Tests of placing layer ranges and of repairing a placement.
#include "Routing/PlacementPlanner.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::uint32_t kLayers = 24;

PlacementRunner
MakeRunner(std::size_t aNumber, double aRate, std::uint32_t aMemory)
{
  PlacementRunner runner;
  runner.m_id = "e" + std::to_string(aNumber);
  runner.m_incarnation = 1;
  runner.m_layerTokensPerSecond = aRate;
  runner.m_memoryLayers = aMemory;
  return runner;
}

// 40 runners of 4 kinds that differ in rate and memory.
std::vector<PlacementRunner>
MakeMixedRunners()
{
  std::vector<PlacementRunner> runners;
  for (std::size_t i = 0; i < 40; ++i) {
    const double rate = 6000.0 * static_cast<double>(1 + i % 4);
    runners.push_back(
      MakeRunner(i, rate, static_cast<std::uint32_t>(3 + 2 * (i % 4))));
  }
  return runners;
}

void
Apply(std::vector<PlacementRunner>& aRunners, const Placement& aPlacement)
{
  for (const HoldLayersOrder& order : aPlacement.m_orders) {
    for (PlacementRunner& runner : aRunners) {
      if (runner.m_id == order.m_id) {
        CHECK(order.m_range.Length() <= runner.m_memoryLayers);
        runner.m_currentRange = order.m_range;
      }
    }
  }
}

} // namespace

TEST_GROUP(PlacementPlanner)
{
  PlacementPlanner m_planner{ PlacementSettings{} };
};

TEST(PlacementPlanner, EqualRunnersAreSpreadEvenly)
{
  std::vector<PlacementRunner> runners;
  for (std::size_t i = 0; i < 8; ++i) {
    runners.push_back(MakeRunner(i, 1200, 6));
  }
  const Placement placement = m_planner.Plan(12, runners);
  CHECK_EQUAL(8, placement.m_orders.size());
  // 8 runners x 1200 layer tokens a second over 12 layers.
  DOUBLES_EQUAL(800.0, placement.m_flow, 1e-6);
}

TEST(PlacementPlanner, MixedKindsUseMostOfTheirLayerRate)
{
  auto runners = MakeMixedRunners();
  const Placement placement = m_planner.Plan(kLayers, runners);
  double rates = 0;
  for (const PlacementRunner& runner : runners) {
    rates += runner.m_layerTokensPerSecond;
  }
  CHECK(placement.m_flow >= 0.85 * rates / kLayers);
  Apply(runners, placement);
}

TEST(PlacementPlanner, AGoodPlacementIsLeftAlone)
{
  auto runners = MakeMixedRunners();
  Apply(runners, m_planner.Plan(kLayers, runners));
  CHECK(m_planner.Plan(kLayers, runners).m_orders.empty());
}

TEST(PlacementPlanner, ALostStageIsFilledAgainWithFewMoves)
{
  auto runners = MakeMixedRunners();
  Apply(runners, m_planner.Plan(kLayers, runners));
  const LayerRange lost = *runners[3].m_currentRange;
  std::erase_if(runners, [&](const PlacementRunner& aRunner) {
    return aRunner.m_currentRange == lost;
  });
  const std::size_t left = runners.size();
  const Placement placement = m_planner.Plan(kLayers, runners);
  CHECK(placement.m_flow > 0);
  CHECK(placement.m_orders.size() <= left / 3);
  Apply(runners, placement);
  double rates = 0;
  for (const PlacementRunner& runner : runners) {
    rates += runner.m_layerTokensPerSecond;
  }
  CHECK(placement.m_flow >= 0.7 * rates / kLayers);
}

TEST(PlacementPlanner, TooLittleMemoryGivesNoFlow)
{
  std::vector<PlacementRunner> runners{ MakeRunner(0, 100, 2) };
  const Placement placement = m_planner.Plan(4, runners);
  DOUBLES_EQUAL(0.0, placement.m_flow, 0);
}
