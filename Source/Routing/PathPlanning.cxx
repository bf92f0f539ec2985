// Computes the paths through a service's engines.
#include "Routing/PathSelector.h"

#include <algorithm>

#include "Routing/EngineCapacity.h"

namespace parsleycove {

namespace {

// Engines used by an earlier path cost this many times as much in the next one.
constexpr double kReusePenalty = 8;
// An engine that has named a limit costs this many times as much.
constexpr double kLimitedAvoidance = 3;

} // namespace

StagePathPtr
PathSelector::MakePath(TimePoint aNow,
                       const std::vector<PathHost>& aHosts,
                       const std::vector<PathPart>& aParts) const
{
  boost::intrusive_ptr<StagePath> path(new StagePath());
  double unshared = 0;
  double slowedMs = 0;
  double usualMs = 0;
  for (const PathPart& part : aParts) {
    const RunnerPtr& runner = m_engines[part.m_host];
    const bool crosses =
      !path->m_stages.empty() &&
      path->m_stages.back().m_runner->m_zone != runner->m_zone;
    path->m_crossings += crosses ? 1 : 0;
    path->m_stages.push_back(
      { runner, part.m_span, KvCapacityTokens(m_model, *runner) });
    const double slowdown = std::max(1.0, runner->m_load->Slowdown(aNow));
    const double stepMs = aHosts[part.m_host].m_stepMs * part.m_span.Length();
    slowedMs += stepMs;
    usualMs += stepMs / slowdown;
    unshared += aHosts[part.m_host].m_penalty <= 1 ? 1 : 0;
    const double kvCapacity = path->m_stages.back().m_kvCapacityTokens;
    path->m_kvCapacityTokens =
      path->m_stages.size() == 1
        ? kvCapacity
        : std::min(path->m_kvCapacityTokens, kvCapacity);
    const double prefillMs = PrefillMs(m_model, part.m_span, *runner, aNow);
    path->m_prefillMs = std::max(path->m_prefillMs, prefillMs);
    path->m_totalPrefillMs += prefillMs;
    const AcceleratorKind* kind = m_model.FindKind(runner->m_accelerator);
    path->m_prefillCost.m_pairsMsPerMillion +=
      m_model.m_pairsMsPerMillion * slowdown * part.m_span.Length() /
      std::max(1U, m_model.m_layers) *
      (kind == nullptr ? 1 : kind->m_prefillTimeFactor);
  }
  path->m_slowdown = usualMs > 0 ? slowedMs / usualMs : 1;
  path->m_unsharedFraction =
    unshared / static_cast<double>(std::max<std::size_t>(aParts.size(), 1));
  path->m_stepMs =
    EstimateStepMs(m_model.m_layers, aHosts, aParts, m_settings.m_costs);
  // One of the steps of a pass is part of the time to prefill a token.
  path->m_prefillCost.m_tokenMs = path->m_totalPrefillMs;
  path->m_prefillCost.m_passMs =
    std::max(0.0, m_model.m_stepsPerPass - 1) * path->m_stepMs;
  return path;
}

void
PathSelector::Plan(TimePoint aNow)
{
  m_plannedAt = aNow;
  m_paths.clear();
  std::vector<PathHost> hosts;
  for (const RunnerPtr& runner : m_engines) {
    const AcceleratorKind* kind = m_model.FindKind(runner->m_accelerator);
    PathHost host;
    host.m_holds = { runner->m_firstLayer,
                     runner->m_firstLayer + runner->m_layerCount };
    host.m_zone = runner->m_zoneIndex;
    const double stepTimeFactor = kind == nullptr ? 1 : kind->m_stepTimeFactor;
    host.m_stepMs = m_model.m_stepMs * stepTimeFactor *
                    std::max(1.0, runner->m_load->Slowdown(aNow));
    host.m_penalty = IsUsable(aNow, *runner) ? 1 : 0;
    host.m_avoidance =
      runner->m_load->Quota().IsLimited() ? kLimitedAvoidance : 1;
    hosts.push_back(host);
  }
  for (const auto& [zone, members] : m_zones) {
    PlanZone(aNow, members, hosts);
  }
  while (m_paths.size() < m_settings.m_paths) {
    const auto parts =
      FindLayerPath(m_model.m_layers, hosts, m_settings.m_costs);
    if (parts.empty()) {
      break;
    }
    AddPath(aNow, hosts, parts);
  }
  m_ownZonePaths = static_cast<std::size_t>(std::count_if(
    m_paths.begin(), m_paths.end(), [this](const StagePathPtr& aPath) {
      return aPath->m_crossings == 0 && aPath->First().m_zone == m_zone &&
             aPath->m_unsharedFraction >= 1;
    }));
}

void
PathSelector::PlanZone(TimePoint aNow,
                       const std::vector<std::size_t>& aMembers,
                       std::vector<PathHost>& aHosts)
{
  std::vector<PathHost> members;
  for (std::size_t i = 0; i < m_settings.m_pathsPerZone; ++i) {
    members.clear();
    for (const std::size_t member : aMembers) {
      members.push_back(aHosts[member]);
    }
    auto parts = FindLayerPath(m_model.m_layers, members, m_settings.m_costs);
    std::size_t unused = 0;
    for (PathPart& part : parts) {
      part.m_host = aMembers[part.m_host];
      unused += aHosts[part.m_host].m_penalty <= 1 ? 1 : 0;
    }
    if (unused == 0) {
      return;
    }
    AddPath(aNow, aHosts, parts);
  }
}

void
PathSelector::AddPath(TimePoint aNow,
                      std::vector<PathHost>& aHosts,
                      const std::vector<PathPart>& aParts)
{
  m_paths.push_back(MakePath(aNow, aHosts, aParts));
  for (const PathPart& part : aParts) {
    aHosts[part.m_host].m_penalty *= kReusePenalty;
  }
}

bool
PathSelector::IsUsable(TimePoint aNow, const Runner& aRunner) const
{
  return m_model.FindKind(aRunner.m_accelerator) != nullptr &&
         aRunner.m_layerCount != 0 && !aRunner.m_load->IsEjected(aNow) &&
         aRunner.m_load->Notice().TakesNewWork(aNow) &&
         aRunner.m_load->Circuit(aNow) == CircuitState::Closed;
}

} // namespace parsleycove
