// The mixed cluster that the decision bench measures on.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "Base/EnumTable.h"
#include "Routing/ChainPlanner.h"
#include "Routing/LinkCosts.h"
#include "Routing/TestCluster.h"

namespace parsleycove {

enum class PlannerKind
{
  ExpectedCompletion,
  RoundRobin,
  LeastOutstanding,
  RandomTwoChoices,
};

inline constexpr std::array<EnumName<PlannerKind>, 4> kPlannerKindNames{ {
  { PlannerKind::ExpectedCompletion, "expected_completion" },
  { PlannerKind::RoundRobin, "round_robin" },
  { PlannerKind::LeastOutstanding, "least_outstanding" },
  { PlannerKind::RandomTwoChoices, "random_two_choices" },
} };

inline constexpr std::size_t kBenchZones = 6;
inline constexpr std::uint32_t kBenchLayers = 48;

std::string
BenchZone(std::size_t aIndex);

// How far the zones are apart.
enum class BenchRegions
{
  One,
  // Three zones each, a hundred times farther apart than a zone's runners.
  Two,
};

LinkCosts
BenchLinks(BenchRegions aRegions);

std::unique_ptr<ChainPlanner>
MakePlanner(PlannerKind aKind, BenchRegions aRegions, std::uint64_t aSeed);

// Spreads the runners over models, stages, 7 kinds of accelerators and zones.
// The models are named m0, m1 and so on.
TestCluster
MakeBenchCluster(std::size_t aRunners,
                 std::size_t aModels,
                 std::size_t aStages);

} // namespace parsleycove
