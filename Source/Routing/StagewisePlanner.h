// Base of the planners that choose stage after stage, for comparison.
#pragma once

#include <cstddef>
#include <vector>

#include "Routing/ChainPlanner.h"

namespace parsleycove {

// Walks from layer 0 on over the runners from which the end can be reached.
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

  // Scratch space, kept to save allocations.
  std::vector<bool> m_reachable; // by boundary: the end can be reached from it
  std::vector<bool> m_usable;    // by runner of the set
  Candidates m_candidates;
  std::vector<std::size_t> m_indices;
};

} // namespace parsleycove
