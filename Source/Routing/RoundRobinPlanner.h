// Baseline planner: uses the runners of each stage in turn.
#pragma once

#include "Routing/StagewisePlanner.h"

namespace parsleycove {

class RoundRobinPlanner final : public StagewisePlanner
{
protected:
  std::size_t Choose(TimePoint aNow, const Candidates& aCandidates) override;

private:
  // Number of choices made so far, by the stage's first layer.
  std::vector<std::size_t> m_turns;
};

} // namespace parsleycove
