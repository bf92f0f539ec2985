// Base of the baseline planners, which choose a runner for one stage after
// another. The baselines serve for comparison with ExpectedCompletionPlanner.
#pragma once

#include <cstddef>
#include <vector>

#include "Routing/ChainPlanner.h"

namespace parsleycove {

// Plans from layer 0 onwards and considers only runners from which the model's
// end can be reached.
class StagewisePlanner : public ChainPlanner
{
public:
  std::optional<Chain> Plan(TimePoint aNow,
                            const RunnerTable& aTable,
                            const ChainRequest& aRequest) final;

protected:
  using Candidates = std::vector<const Runner*>;

  // Returns an index into aCandidates, which is not empty.
  virtual std::size_t Choose(TimePoint aNow, const Candidates& aCandidates) = 0;

private:
  void FindReachable(const RunnerSet& aSet,
                     const ChainRequest& aRequest,
                     std::uint32_t aLayers);
  const RunnerPtr* ChooseAt(TimePoint aNow,
                            const RunnerSet& aSet,
                            std::uint32_t aLayer);

  // Buffers that are reused to save allocations.
  std::vector<bool> m_reachable; // by boundary: the model's end is reachable
  std::vector<bool> m_usable;    // by index in the set
  Candidates m_candidates;
  std::vector<std::size_t> m_indices;
};

} // namespace parsleycove
