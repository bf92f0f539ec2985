// Base of the baseline planners, which choose a runner for one stage after
// another. The baselines serve for comparison with ExpectedCompletionPlanner.
#include "Routing/StagewisePlanner.h"

#include <algorithm>

namespace parsleycove {

std::optional<Chain>
StagewisePlanner::Plan(TimePoint aNow,
                       const RunnerTable& aTable,
                       const ChainRequest& aRequest)
{
  std::uint32_t layers = 0;
  const RunnerSet* set = FindRunners(aTable, aRequest, layers);
  if (!set) {
    return std::nullopt;
  }
  FindReachable(*set, aRequest, layers);
  Chain chain;
  std::uint32_t layer = 0;
  while (layer < layers) {
    const RunnerPtr* runner = ChooseAt(aNow, *set, layer);
    if (!runner) {
      return FailAtLayer(aRequest, layer);
    }
    chain.m_stages.push_back(
      { *runner, (*runner)->m_firstLayer, (*runner)->m_lastLayer });
    layer = (*runner)->m_lastLayer + 1;
  }
  return chain;
}

void
StagewisePlanner::FindReachable(const RunnerSet& aSet,
                                const ChainRequest& aRequest,
                                std::uint32_t aLayers)
{
  m_reachable.assign(aLayers + 1, false);
  m_reachable[aLayers] = true;
  m_usable.assign(aSet.m_runners.size(), false);
  const auto& excluded = aRequest.m_excluded;
  // Iterates backwards because a range ends at a later boundary than it begins.
  for (std::size_t i = aSet.m_runners.size(); i > 0; --i) {
    const Runner& runner = *aSet.m_runners[i - 1];
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), runner.m_id) !=
      excluded.end();
    if (!isExcluded && m_reachable[runner.m_lastLayer + 1]) {
      m_usable[i - 1] = true;
      m_reachable[runner.m_firstLayer] = true;
    }
  }
}

const RunnerPtr*
StagewisePlanner::ChooseAt(TimePoint aNow,
                           const RunnerSet& aSet,
                           std::uint32_t aLayer)
{
  m_candidates.clear();
  m_indices.clear();
  for (const RangeGroup& group : aSet.m_groups) {
    if (group.m_firstLayer != aLayer) {
      continue;
    }
    for (std::size_t i = group.m_begin; i < group.m_end; ++i) {
      if (m_usable[i]) {
        m_candidates.push_back(aSet.m_runners[i].get());
        m_indices.push_back(i);
      }
    }
  }
  if (m_candidates.empty()) {
    return nullptr;
  }
  return &aSet.m_runners[m_indices[Choose(aNow, m_candidates)]];
}

} // namespace parsleycove
