// Baseline planner: for each stage, chooses the runner with the fewest streams
// known to this process.
#pragma once

#include "Routing/StagewisePlanner.h"

namespace parsleycove {

class LeastOutstandingPlanner final : public StagewisePlanner
{
protected:
  std::size_t Choose(TimePoint aNow, const Candidates& aCandidates) override;
};

} // namespace parsleycove
