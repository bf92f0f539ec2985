// Replaces the failed stages of a stream's path by other engines.
#include "Routing/PathSelector.h"

#include <algorithm>

#include "Routing/EngineCapacity.h"
#include "Routing/Random.h"

namespace parsleycove {

namespace {

// Among engines whose costs differ by less than this fraction the choice is
// random: the streams of all gateways look for replacement engines at the same
// moment.
constexpr double kRerouteSpread = 1;
// Engines with a higher slowdown factor do not replace a failed one.
constexpr double kMaxReplacementSlowdown = 2.5;

} // namespace

std::vector<PathHost>
PathSelector::MakeReplacementHosts(TimePoint aNow,
                                   const LayerSpan& aUncovered,
                                   const StagePath& aFailedPath,
                                   const RerouteRequest& aRequest) const
{
  const std::uint32_t zone = aFailedPath.First().m_zoneIndex;
  const double layerFraction =
    static_cast<double>(aUncovered.Length()) / m_model.m_layers;
  std::vector<PathHost> hosts;
  for (const RunnerPtr& runner : m_engines) {
    PathHost& host = hosts.emplace_back();
    const std::uint32_t first =
      std::max(runner->m_firstLayer, aUncovered.m_first);
    const std::uint32_t end =
      std::min(runner->m_firstLayer + runner->m_layerCount, aUncovered.m_end);
    const auto& excluded = aRequest.m_excluded;
    const bool isExcluded =
      aFailedPath.Uses(runner->m_id) ||
      std::find(excluded.begin(), excluded.end(), runner->m_id) !=
        excluded.end();
    const double kvCapacity = KvCapacityTokens(m_model, *runner);
    const double reserved =
      runner->m_load->ReservedTokens() + aRequest.m_tokens;
    const bool isSlow =
      runner->m_load->Slowdown(aNow) > kMaxReplacementSlowdown;
    if (first >= end || isExcluded || isSlow || !IsUsable(aNow, *runner) ||
        !runner->m_load->Quota().MayTake(aNow) || reserved > kvCapacity) {
      host.m_penalty = 0;
      continue;
    }
    host.m_holds = { first - aUncovered.m_first, end - aUncovered.m_first };
    host.m_zone = runner->m_zoneIndex;
    // Prefilling the tokens of the request so far takes longest, so only
    // prefill time counts.
    const AcceleratorKind* kind = m_model.FindKind(runner->m_accelerator);
    host.m_stepMs = kind->m_prefillTimeFactor *
                    std::max(1.0, runner->m_load->Slowdown(aNow)) *
                    layerFraction;
    if (runner->m_zoneIndex != zone) {
      host.m_stepMs += 2 * m_settings.m_costs.m_zoneHopMs;
    }
    Random draw(runner->m_idHash ^ aRequest.m_seed);
    host.m_penalty =
      (1 + reserved / kvCapacity) * (1 + kRerouteSpread * draw.Fraction());
  }
  return hosts;
}

StagePathPtr
PathSelector::Reroute(TimePoint aNow,
                      const StagePath& aFailedPath,
                      const RerouteRequest& aRequest) const
{
  const auto isFailed = [&](const PathStage& aStage) {
    const auto& excluded = aRequest.m_excluded;
    return aStage.m_runner->m_load->Circuit(aNow) != CircuitState::Closed ||
           std::find(excluded.begin(), excluded.end(), aStage.m_runner->m_id) !=
             excluded.end();
  };
  if (isFailed(aFailedPath.m_stages.front())) {
    return nullptr;
  }
  boost::intrusive_ptr<StagePath> path(new StagePath());
  path->m_stepMs = aFailedPath.m_stepMs;
  path->m_prefillMs = aFailedPath.m_prefillMs;
  path->m_totalPrefillMs = aFailedPath.m_totalPrefillMs;
  const auto& stages = aFailedPath.m_stages;
  for (auto stage = stages.begin(); stage != stages.end();) {
    const auto next = std::find_if_not(stage, stages.end(), isFailed);
    if (next == stage) {
      path->m_stages.push_back(*stage++);
      continue;
    }
    const LayerSpan uncovered{ stage->m_span.m_first,
                               (next - 1)->m_span.m_end };
    const auto parts = FindLayerPath(
      uncovered.Length(),
      MakeReplacementHosts(aNow, uncovered, aFailedPath, aRequest),
      m_settings.m_costs);
    if (parts.empty()) {
      return nullptr;
    }
    for (const PathPart& part : parts) {
      const RunnerPtr& runner = m_engines[part.m_host];
      if (path->Uses(runner->m_id)) {
        return nullptr;
      }
      path->m_stages.push_back({ runner,
                                 { part.m_span.m_first + uncovered.m_first,
                                   part.m_span.m_end + uncovered.m_first },
                                 KvCapacityTokens(m_model, *runner) });
    }
    stage = next;
  }
  for (std::size_t i = 1; i < path->m_stages.size(); ++i) {
    const bool crosses = path->m_stages[i - 1].m_runner->m_zone !=
                         path->m_stages[i].m_runner->m_zone;
    path->m_crossings += crosses ? 1 : 0;
  }
  return path->m_stages.size() <= m_settings.m_costs.m_maxParts ? path
                                                                : nullptr;
}

} // namespace parsleycove
