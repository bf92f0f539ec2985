// The mixed cluster that the decision bench measures on.
#include "Bench/Decision/BenchCluster.h"

#include <array>

#include "Routing/ExpectedCompletionPlanner.h"
#include "Routing/LeastOutstandingPlanner.h"
#include "Routing/RandomTwoChoicesPlanner.h"
#include "Routing/RoundRobinPlanner.h"

namespace parsleycove {

namespace {

constexpr std::array<std::uint32_t, 7> kKindTokensPerSecond{ 320, 480, 640,
                                                             800, 960, 1280,
                                                             1920 };
// A full round of any kind takes as long: a slot for this rate.
constexpr std::uint32_t kTokensPerSecondOfASlot = 160;
constexpr std::size_t kZonesOfARegion = 3;

} // namespace

std::string
BenchZone(std::size_t aIndex)
{
  return "zone" + std::to_string(aIndex);
}

LinkCosts
BenchLinks(BenchRegions aRegions)
{
  LinkCosts links;
  links.m_sameZone = std::chrono::microseconds(100);
  links.m_otherZone = std::chrono::microseconds(600);
  if (aRegions == BenchRegions::One) {
    return links;
  }
  for (std::size_t from = 0; from < kZonesOfARegion; ++from) {
    for (std::size_t to = kZonesOfARegion; to < kBenchZones; ++to) {
      links.m_pairs[{ BenchZone(from), BenchZone(to) }] =
        std::chrono::milliseconds(10);
    }
  }
  return links;
}

std::unique_ptr<ChainPlanner>
MakePlanner(PlannerKind aKind, BenchRegions aRegions, std::uint64_t aSeed)
{
  PlannerSettings settings;
  settings.m_links = BenchLinks(aRegions);
  switch (aKind) {
    case PlannerKind::RoundRobin:
      return std::make_unique<RoundRobinPlanner>();
    case PlannerKind::LeastOutstanding:
      return std::make_unique<LeastOutstandingPlanner>();
    case PlannerKind::RandomTwoChoices:
      return std::make_unique<RandomTwoChoicesPlanner>(aSeed);
    default:
      return std::make_unique<ExpectedCompletionPlanner>(settings, aSeed);
  }
}

TestCluster
MakeBenchCluster(std::size_t aRunners, std::size_t aModels, std::size_t aStages)
{
  TestCluster cluster;
  for (std::size_t model = 0; model < aModels; ++model) {
    cluster.AddModel("m" + std::to_string(model), kBenchLayers);
  }
  const auto length = static_cast<std::uint32_t>(kBenchLayers / aStages);
  for (std::size_t i = 0; i < aRunners; ++i) {
    const std::size_t perModel = i / aModels;
    const auto stage = static_cast<std::uint32_t>(perModel % aStages);
    const std::size_t row = perModel / aStages;
    const std::uint32_t rate =
      kKindTokensPerSecond[(row + stage) % kKindTokensPerSecond.size()];
    cluster
      .AddEngine("runner" + std::to_string(i),
                 "m" + std::to_string(i % aModels),
                 stage * length,
                 (stage + 1) * length - 1,
                 rate,
                 BenchZone(row % kBenchZones))
      .slots = rate / kTokensPerSecondOfASlot;
  }
  return cluster;
}

} // namespace parsleycove
