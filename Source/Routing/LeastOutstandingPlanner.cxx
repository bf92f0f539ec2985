// Baseline planner: for each stage, chooses the runner with the fewest streams
// known to this process.
#include "Routing/LeastOutstandingPlanner.h"

#include <algorithm>

namespace parsleycove {

std::size_t
LeastOutstandingPlanner::Choose(TimePoint aNow, const Candidates& aCandidates)
{
  const auto hasFewer = [aNow](const Runner* aLeft, const Runner* aRight) {
    return aLeft->m_load->EstimateStreams(aNow) <
           aRight->m_load->EstimateStreams(aNow);
  };
  const auto least =
    std::min_element(aCandidates.begin(), aCandidates.end(), hasFewer);
  return static_cast<std::size_t>(least - aCandidates.begin());
}

} // namespace parsleycove
