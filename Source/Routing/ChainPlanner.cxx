// Interface of the planners that choose a chain of runners for one generation.
#include "Routing/ChainPlanner.h"

namespace parsleycove {

const RunnerSet*
ChainPlanner::FindRunners(const RunnerTable& aTable,
                          const ChainRequest& aRequest,
                          std::uint32_t& aLayers)
{
  m_reason = {};
  const ModelRunners* model = aTable.FindModel(aRequest.m_model);
  if (!model || model->m_layers == 0) {
    m_reason.Set(ChainError::NoSuchModel,
                 "model " + aRequest.m_model + ": expected a configured model");
    return nullptr;
  }
  aLayers = model->m_layers;
  if (aRequest.m_version.empty()) {
    const RunnerSet* served = model->FindServedVersion();
    if (!served) {
      FailAtLayer(aRequest, 0);
    }
    return served;
  }
  const RunnerSet* set = model->FindVersion(aRequest.m_version);
  if (!set) {
    m_reason.Set(ChainError::NoSuchVersion,
                 "version " + aRequest.m_version + " of model " +
                   aRequest.m_model +
                   ": expected a version that a ready runner holds");
  }
  return set;
}

std::optional<Chain>
ChainPlanner::FailAtLayer(const ChainRequest& aRequest, std::uint32_t aLayer)
{
  m_reason.Set(ChainError::NoRunnerForLayer,
               "model " + aRequest.m_model + ": no ready runner for layer " +
                 std::to_string(aLayer));
  return std::nullopt;
}

} // namespace parsleycove
