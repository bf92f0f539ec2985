// Finds the engines of a path that serve nothing although they answer probes.
#include "Routing/HungStages.h"

namespace parsleycove {

std::vector<RunnerPtr>
FindHungStages(const StagePath& aPath, TimePoint aSentAt)
{
  std::vector<RunnerPtr> hung;
  for (const PathStage& stage : aPath.m_stages) {
    if (stage.m_runner->m_load->EventAt() < aSentAt) {
      hung.push_back(stage.m_runner);
    }
  }
  if (hung.size() * 2 > aPath.m_stages.size()) {
    hung.clear();
  }
  return hung;
}

} // namespace parsleycove
