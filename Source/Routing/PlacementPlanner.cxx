// Assigns layer ranges of one model to runners.
#include "Routing/PlacementPlanner.h"

#include <algorithm>
#include <numeric>

#include "Routing/FlowBound.h"

namespace parsleycove {

namespace {

// Gains below this share of the target flow are not worth loading weights.
constexpr double kMinGainShare = 0.005;

double
TokensPerSecond(const PlacementRunner& aRunner, const LayerRange& aRange)
{
  return aRunner.m_layerTokensPerSecond / aRange.Length();
}

std::vector<LayerRange>
SplitEvenly(std::uint32_t aLayers, std::uint32_t aStages)
{
  std::vector<LayerRange> ranges;
  std::uint32_t first = 0;
  for (std::uint32_t stage = 0; stage < aStages; ++stage) {
    const std::uint32_t end = aLayers * (stage + 1) / aStages;
    ranges.push_back({ first, end - 1 });
    first = end;
  }
  return ranges;
}

// The runners of one lane and the stage that each takes.
struct Pipeline
{
  std::vector<LayerRange> m_ranges;
  std::vector<std::size_t> m_runners;
  std::vector<std::size_t> m_stages;
  // Least rate of a stage.
  double m_flow = 0;
};

// Fills the least served stage with the fastest runner that is left.
Pipeline
AssignPipeline(std::vector<LayerRange> aRanges,
               const std::vector<PlacementRunner>& aRunners,
               const std::vector<std::size_t>& aFree)
{
  Pipeline lane;
  lane.m_ranges = std::move(aRanges);
  std::uint32_t longest = 0;
  for (const LayerRange& range : lane.m_ranges) {
    longest = std::max(longest, range.Length());
  }
  for (const std::size_t index : aFree) {
    if (aRunners[index].m_memoryLayers >= longest) {
      lane.m_runners.push_back(index);
    }
  }
  const auto isFaster = [&](std::size_t aLeft, std::size_t aRight) {
    return aRunners[aLeft].m_layerTokensPerSecond >
           aRunners[aRight].m_layerTokensPerSecond;
  };
  std::stable_sort(lane.m_runners.begin(), lane.m_runners.end(), isFaster);
  std::vector<double> rates(lane.m_ranges.size(), 0.0);
  for (const std::size_t index : lane.m_runners) {
    const auto least = std::min_element(rates.begin(), rates.end());
    const auto stage = static_cast<std::size_t>(least - rates.begin());
    lane.m_stages.push_back(stage);
    *least += TokensPerSecond(aRunners[index], lane.m_ranges[stage]);
  }
  lane.m_flow = *std::min_element(rates.begin(), rates.end());
  return lane;
}

} // namespace

PlacementPlanner::PlacementPlanner(PlacementSettings aSettings)
  : m_settings(aSettings)
{
}

PlacementPlanner::Score
PlacementPlanner::ComputeScore(std::uint32_t aLayers,
                               const std::vector<PlacementRunner>& aRunners,
                               const Assignment& aAssignment,
                               double aTargetFlow)
{
  std::vector<StageRate> rates;
  std::vector<double> covered(aLayers, 0.0);
  for (std::size_t i = 0; i < aRunners.size(); ++i) {
    if (!aAssignment[i]) {
      continue;
    }
    const LayerRange& range = *aAssignment[i];
    const double rate = TokensPerSecond(aRunners[i], range);
    rates.push_back({ range.m_firstLayer, range.m_lastLayer, rate, {} });
    for (std::uint32_t l = range.m_firstLayer; l <= range.m_lastLayer; ++l) {
      covered[l] += rate;
    }
  }
  Score score;
  score.m_flow = ComputeFlowBound(aLayers, rates, {});
  for (const double rate : covered) {
    score.m_coverage += std::min(rate, aTargetFlow);
  }
  return score;
}

PlacementPlanner::Assignment
PlacementPlanner::PlanFromScratch(std::uint32_t aLayers,
                                  const std::vector<PlacementRunner>& aRunners)
{
  Assignment assignment(aRunners.size());
  std::vector<std::size_t> free(aRunners.size());
  std::iota(free.begin(), free.end(), std::size_t{ 0 });
  while (!free.empty()) {
    Pipeline best;
    for (std::uint32_t stages = 1; stages <= aLayers; ++stages) {
      Pipeline lane =
        AssignPipeline(SplitEvenly(aLayers, stages), aRunners, free);
      // Fewer stages are better when the flow is the same: fewer transfers.
      if (lane.m_flow > best.m_flow * (1.0 + kMinGainShare)) {
        best = std::move(lane);
      }
    }
    if (best.m_flow <= 0) {
      break;
    }
    for (std::size_t i = 0; i < best.m_runners.size(); ++i) {
      assignment[best.m_runners[i]] = best.m_ranges[best.m_stages[i]];
    }
    const auto isPlaced = [&](std::size_t aIndex) {
      return assignment[aIndex].has_value();
    };
    free.erase(std::remove_if(free.begin(), free.end(), isPlaced), free.end());
  }
  return assignment;
}

PlacementPlanner::Assignment
PlacementPlanner::Rebalance(std::uint32_t aLayers,
                            const std::vector<PlacementRunner>& aRunners,
                            double aTargetFlow,
                            std::vector<std::size_t>& aMoved) const
{
  Assignment assignment;
  std::vector<LayerRange> ranges;
  const auto addRange = [&](const LayerRange& aRange) {
    if (std::find(ranges.begin(), ranges.end(), aRange) == ranges.end()) {
      ranges.push_back(aRange);
    }
  };
  for (const PlacementRunner& runner : aRunners) {
    const bool valid =
      runner.m_currentRange && runner.m_currentRange->m_lastLayer < aLayers;
    assignment.push_back(valid ? runner.m_currentRange : std::nullopt);
    if (valid) {
      addRange(*runner.m_currentRange);
    }
  }
  // A range whose last runner vanished is what lies between two others.
  std::vector<std::uint32_t> boundaries{ 0, aLayers };
  for (const LayerRange& range : ranges) {
    boundaries.push_back(range.m_firstLayer);
    boundaries.push_back(range.m_lastLayer + 1);
  }
  std::sort(boundaries.begin(), boundaries.end());
  boundaries.erase(std::unique(boundaries.begin(), boundaries.end()),
                   boundaries.end());
  for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
    addRange({ boundaries[i], boundaries[i + 1] - 1 });
  }
  Score score = ComputeScore(aLayers, aRunners, assignment, aTargetFlow);
  while (aMoved.size() < m_settings.m_maxMoves &&
         score.m_flow < m_settings.m_minFlowShare * aTargetFlow) {
    Score bestScore = score;
    std::size_t bestRunner = aRunners.size();
    LayerRange bestRange;
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      const auto previous = assignment[i];
      for (const LayerRange& range : ranges) {
        const bool fits = range.Length() <= aRunners[i].m_memoryLayers;
        if (!fits || previous == range) {
          continue;
        }
        assignment[i] = range;
        const Score next =
          ComputeScore(aLayers, aRunners, assignment, aTargetFlow);
        const double least = kMinGainShare * aTargetFlow;
        const bool better = next.m_flow > bestScore.m_flow + least ||
                            (next.m_flow >= bestScore.m_flow &&
                             next.m_coverage > bestScore.m_coverage + least);
        if (better) {
          bestScore = next;
          bestRunner = i;
          bestRange = range;
        }
      }
      assignment[i] = previous;
    }
    if (bestRunner == aRunners.size()) {
      break;
    }
    assignment[bestRunner] = bestRange;
    aMoved.push_back(bestRunner);
    score = bestScore;
  }
  return assignment;
}

Placement
PlacementPlanner::Plan(std::uint32_t aLayers,
                       const std::vector<PlacementRunner>& aRunners) const
{
  Placement placement;
  if (aLayers == 0) {
    return placement;
  }
  const Assignment fresh = PlanFromScratch(aLayers, aRunners);
  const double target = ComputeScore(aLayers, aRunners, fresh, 0).m_flow;
  std::vector<std::size_t> order;
  Assignment chosen = Rebalance(aLayers, aRunners, target, order);
  placement.m_flow = ComputeScore(aLayers, aRunners, chosen, target).m_flow;
  if (placement.m_flow < m_settings.m_minFlowShare * target) {
    chosen = fresh;
    placement.m_flow = target;
    order.resize(aRunners.size());
    std::iota(order.begin(), order.end(), std::size_t{ 0 });
  }
  std::vector<bool> listed(aRunners.size(), false);
  for (const std::size_t index : order) {
    const PlacementRunner& runner = aRunners[index];
    const bool changes =
      chosen[index] && chosen[index] != runner.m_currentRange && !listed[index];
    if (changes) {
      listed[index] = true;
      placement.m_orders.push_back(
        { runner.m_id, runner.m_incarnation, *chosen[index] });
    }
  }
  return placement;
}

} // namespace parsleycove
