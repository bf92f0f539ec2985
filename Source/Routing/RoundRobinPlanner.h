// Baseline: takes the runners of each stage in turn.
#pragma once

#include "Routing/StagewisePlanner.h"

namespace parsleycove {

class RoundRobinPlanner final : public StagewisePlanner
{
protected:
  std::size_t Choose(TimePoint aNow, const Candidates& aCandidates) override;

private:
  // By first layer of the stage.
  std::vector<std::size_t> m_turns;
};

} // namespace parsleycove
