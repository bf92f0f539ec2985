// Baseline planner: uses the runners of each stage in turn.
#include "Routing/RoundRobinPlanner.h"

namespace parsleycove {

std::size_t
RoundRobinPlanner::Choose(TimePoint /*aNow*/, const Candidates& aCandidates)
{
  const std::size_t layer = aCandidates.front()->m_firstLayer;
  if (m_turns.size() <= layer) {
    m_turns.resize(layer + 1, 0);
  }
  return m_turns[layer]++ % aCandidates.size();
}

} // namespace parsleycove
