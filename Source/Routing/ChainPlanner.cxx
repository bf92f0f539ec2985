// Choice of a chain of runners for one generation.
#include "Routing/ChainPlanner.h"

namespace parsleycove {

namespace {

const RunnerSet*
LargestSet(const ModelRunners& aModel)
{
  const RunnerSet* best = nullptr;
  for (const RunnerSet& set : aModel.m_versions) {
    if (!best || set.m_runners.size() > best->m_runners.size()) {
      best = &set;
    }
  }
  return best;
}

} // namespace

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
  const std::string& version =
    aRequest.m_version.empty() ? model->m_version : aRequest.m_version;
  const RunnerSet* set =
    version.empty() ? LargestSet(*model) : model->FindVersion(version);
  if (!set && aRequest.m_version.empty()) {
    FailAtLayer(aRequest, 0);
  } else if (!set) {
    m_reason.Set(ChainError::NoSuchVersion,
                 "version " + version + " of model " + aRequest.m_model +
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
