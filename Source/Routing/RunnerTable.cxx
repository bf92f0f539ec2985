// Indexes the endpoints of one cluster view for planning.
#include "Routing/RunnerTable.h"

#include <algorithm>
#include <tuple>

#include "Routing/Random.h"

namespace parsleycove {

namespace {

boost::intrusive_ptr<Runner>
MakeRunner(const state::EndpointT& aEndpoint,
           const RunnerTable* aPrevious,
           const UnlistedRunners& aUnlisted)
{
  boost::intrusive_ptr<Runner> runner(new Runner());
  runner->m_id = aEndpoint.id;
  runner->m_incarnation = aEndpoint.incarnation;
  runner->m_kind = aEndpoint.kind;
  runner->m_phase = aEndpoint.phase;
  runner->m_address = { aEndpoint.address, aEndpoint.port };
  runner->m_zone = aEndpoint.zone;
  runner->m_model = aEndpoint.model;
  runner->m_version = aEndpoint.version;
  runner->m_service = aEndpoint.service;
  runner->m_accelerator = aEndpoint.accelerator;
  runner->m_firstLayer = aEndpoint.first_layer;
  runner->m_lastLayer = aEndpoint.last_layer;
  runner->m_layerCount = aEndpoint.layer_count;
  runner->m_isSuspected = aEndpoint.suspected;
  runner->m_tokensPerSecond = aEndpoint.tokens_per_second;
  runner->m_slots = aEndpoint.slots;
  runner->m_idHash = HashId(aEndpoint.id);
  const Runner* old = aPrevious ? aPrevious->FindRunner(aEndpoint.id) : nullptr;
  if (old == nullptr || old->m_incarnation != aEndpoint.incarnation) {
    old = aUnlisted.Find(aEndpoint.id, aEndpoint.incarnation);
  }
  runner->m_load = old ? old->m_load : new RunnerLoad();
  return runner;
}

bool
IsBefore(const RunnerPtr& aLeft, const RunnerPtr& aRight)
{
  return std::tie(aLeft->m_firstLayer, aLeft->m_lastLayer, aLeft->m_id) <
         std::tie(aRight->m_firstLayer, aRight->m_lastLayer, aRight->m_id);
}

void
MakeGroups(RunnerSet& aSet)
{
  std::sort(aSet.m_runners.begin(), aSet.m_runners.end(), IsBefore);
  for (std::size_t i = 0; i < aSet.m_runners.size(); ++i) {
    const Runner& runner = *aSet.m_runners[i];
    const bool sameRange =
      !aSet.m_groups.empty() &&
      aSet.m_groups.back().m_firstLayer == runner.m_firstLayer &&
      aSet.m_groups.back().m_lastLayer == runner.m_lastLayer;
    if (!sameRange) {
      aSet.m_groups.push_back(
        { runner.m_firstLayer, runner.m_lastLayer, i, i });
    }
    aSet.m_groups.back().m_end = i + 1;
  }
}

RunnerSet&
FindOrAddVersion(ModelRunners& aModel, const std::string& aVersion)
{
  for (RunnerSet& set : aModel.m_versions) {
    if (set.m_version == aVersion) {
      return set;
    }
  }
  aModel.m_versions.push_back({ aVersion, {}, {} });
  return aModel.m_versions.back();
}

} // namespace

std::uint64_t
HashId(std::string_view aId)
{
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char letter : aId) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
  }
  return MixBits(hash);
}

std::uint64_t
IncarnationKey(const Runner& aRunner)
{
  return MixBits(aRunner.m_idHash ^ aRunner.m_incarnation);
}

const RunnerSet*
ModelRunners::FindVersion(std::string_view aVersion) const
{
  for (const RunnerSet& set : m_versions) {
    if (set.m_version == aVersion) {
      return &set;
    }
  }
  return nullptr;
}

const RunnerSet*
ModelRunners::FindServedVersion() const
{
  if (!m_version.empty()) {
    return FindVersion(m_version);
  }
  const auto hasFewer = [](const RunnerSet& aLeft, const RunnerSet& aRight) {
    return aLeft.m_runners.size() < aRight.m_runners.size();
  };
  const auto largest =
    std::max_element(m_versions.begin(), m_versions.end(), hasFewer);
  return largest == m_versions.end() ? nullptr : &*largest;
}

boost::intrusive_ptr<const RunnerTable>
RunnerTable::Build(TimePoint aNow,
                   const ClusterView& aView,
                   const RunnerTable* aPrevious)
{
  boost::intrusive_ptr<RunnerTable> table(new RunnerTable());
  if (aPrevious != nullptr) {
    table->m_unlisted = aPrevious->m_unlisted;
    table->m_unlisted.ForgetExpired(aNow);
  }
  table->AddRunners(aView, aPrevious);
  if (aPrevious != nullptr) {
    table->m_unlisted.Update(aNow, aPrevious->m_all, *table);
  }
  table->AddModels(aView);
  table->AddServices();
  return table;
}

void
RunnerTable::AddRunners(const ClusterView& aView, const RunnerTable* aPrevious)
{
  const auto& endpoints = aView.Image().endpoints;
  for (const auto& endpoint : endpoints) {
    m_zones.push_back(endpoint->zone);
  }
  std::sort(m_zones.begin(), m_zones.end());
  m_zones.erase(std::unique(m_zones.begin(), m_zones.end()), m_zones.end());
  m_all.reserve(endpoints.size());
  for (const auto& endpoint : endpoints) {
    auto runner = MakeRunner(*endpoint, aPrevious, m_unlisted);
    runner->m_zoneIndex = ZoneIndex(endpoint->zone);
    m_all.emplace_back(std::move(runner));
    m_byId.emplace(m_all.back()->m_id, m_all.back().get());
  }
}

void
RunnerTable::AddModels(const ClusterView& aView)
{
  m_models.reserve(aView.Image().models.size());
  for (const auto& model : aView.Image().models) {
    m_models.push_back({ model->name, model->version, model->layers, {} });
    m_modelIndex.emplace(m_models.back().m_name, m_models.size() - 1);
  }
  for (const RunnerPtr& runner : m_all) {
    const auto found = m_modelIndex.find(runner->m_model);
    const bool usable = runner->m_kind == state::EndpointKind::Engine &&
                        runner->m_phase == state::EndpointPhase::Ready &&
                        found != m_modelIndex.end() &&
                        runner->m_firstLayer <= runner->m_lastLayer;
    if (!usable) {
      continue;
    }
    ModelRunners& model = m_models[found->second];
    if (runner->m_lastLayer < model.m_layers) {
      FindOrAddVersion(model, runner->m_version).m_runners.push_back(runner);
    }
  }
  for (ModelRunners& model : m_models) {
    for (RunnerSet& set : model.m_versions) {
      MakeGroups(set);
    }
  }
}

void
RunnerTable::AddServices()
{
  for (const RunnerPtr& runner : m_all) {
    const bool usable = runner->m_kind != state::EndpointKind::Engine &&
                        runner->m_phase == state::EndpointPhase::Ready;
    if (usable) {
      m_services[runner->m_service].push_back(runner);
    }
  }
}

const ModelRunners*
RunnerTable::FindModel(std::string_view aName) const
{
  const auto found = m_modelIndex.find(aName);
  return found == m_modelIndex.end() ? nullptr : &m_models[found->second];
}

const std::vector<RunnerPtr>*
RunnerTable::FindService(std::string_view aName) const
{
  const auto found = m_services.find(std::string(aName));
  return found == m_services.end() ? nullptr : &found->second;
}

const Runner*
RunnerTable::FindRunner(std::string_view aId) const
{
  const auto found = m_byId.find(aId);
  return found == m_byId.end() ? nullptr : found->second;
}

const Runner*
RunnerTable::FindStart(std::string_view aId, std::uint64_t aIncarnation) const
{
  const Runner* listed = FindRunner(aId);
  return listed != nullptr && listed->m_incarnation == aIncarnation
           ? listed
           : m_unlisted.Find(aId, aIncarnation);
}

std::uint32_t
RunnerTable::ZoneIndex(std::string_view aZone) const
{
  const auto found = std::lower_bound(m_zones.begin(), m_zones.end(), aZone);
  const bool known = found != m_zones.end() && *found == aZone;
  return static_cast<std::uint32_t>(known ? found - m_zones.begin()
                                          : m_zones.end() - m_zones.begin());
}

} // namespace parsleycove
