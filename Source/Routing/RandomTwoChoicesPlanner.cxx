// Baseline planner: for each stage, chooses the less loaded of two random
// runners.
#include "Routing/RandomTwoChoicesPlanner.h"

namespace parsleycove {

RandomTwoChoicesPlanner::RandomTwoChoicesPlanner(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

std::size_t
RandomTwoChoicesPlanner::Choose(TimePoint aNow, const Candidates& aCandidates)
{
  const std::size_t one = m_random.Below(aCandidates.size());
  const std::size_t other = m_random.Below(aCandidates.size());
  const bool otherIsBetter = aCandidates[other]->m_load->EstimateStreams(aNow) <
                             aCandidates[one]->m_load->EstimateStreams(aNow);
  return otherIsBetter ? other : one;
}

} // namespace parsleycove
