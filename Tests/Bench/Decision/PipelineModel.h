// A discrete-event queue model of runners behind twelve gateways.
#pragma once

#include <cstdint>

#include "Bench/Decision/BenchCluster.h"

namespace parsleycove {

struct PipelineSettings
{
  PlannerKind m_planner = PlannerKind::ExpectedCompletion;
  BenchRegions m_regions = BenchRegions::Two;
  std::uint64_t m_seed = 1;
  // Offered work as a share of the flow bound.
  double m_load = 1;
  // When set, the runners of zone 0 fall silent then.
  Duration m_zoneLostAt{};
};

struct PipelineResult
{
  // In time, as a share of the flow bound.
  double m_goodputShare = 0;
  std::size_t m_sent = 0;
  std::size_t m_inTime = 0;
  std::size_t m_late = 0;
  std::size_t m_refused = 0;
  std::size_t m_failed = 0;
  // Steps that were computed, over those that an undisturbed run needs.
  double m_stepsShare = 0;
  // Streams that the lost zone hit: from the loss to their next token.
  double m_recoveryP50Ms = 0;
  double m_recoveryP95Ms = 0;
};

// Runs real planners, admission controllers and stream machines over a model
// of 40 runners in 4 stages that batch in rounds.
PipelineResult
RunPipelineModel(const PipelineSettings& aSettings);

} // namespace parsleycove
