// Baseline planner: for each stage, chooses the less loaded of two random
// runners.
#pragma once

#include "Routing/Random.h"
#include "Routing/StagewisePlanner.h"

namespace parsleycove {

class RandomTwoChoicesPlanner final : public StagewisePlanner
{
public:
  explicit RandomTwoChoicesPlanner(std::uint64_t aSeed);

protected:
  std::size_t Choose(TimePoint aNow, const Candidates& aCandidates) override;

private:
  Random m_random;
};

} // namespace parsleycove
