// Plans the chain with the least expected completion time.
#include "Routing/ExpectedCompletionPlanner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace parsleycove {

namespace {

constexpr double kUnreachable = std::numeric_limits<double>::infinity();
constexpr double kNsPerSecond = 1e9;
constexpr double kDefaultTokensPerSecond = 100.0;
// Prompt positions are computed in parallel, tokens one by one.
constexpr double kPrefillSpeedup = 8.0;
// Time of a step on an empty runner, as a share of that of a full batch.
constexpr double kEmptyStepShare = 0.5;

double
ToNs(Duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

} // namespace

ExpectedCompletionPlanner::ExpectedCompletionPlanner(PlannerSettings aSettings,
                                                     std::uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_random(aSeed)
{
}

std::optional<Chain>
ExpectedCompletionPlanner::Plan(TimePoint aNow,
                                const RunnerTable& aTable,
                                const ChainRequest& aRequest)
{
  std::uint32_t layers = 0;
  const RunnerSet* set = FindRunners(aTable, aRequest, layers);
  if (!set) {
    return std::nullopt;
  }
  if (aNow >= aRequest.m_deadline) {
    m_reason.Set(ChainError::DeadlinePassed,
                 "deadline: expected a time to come");
    return std::nullopt;
  }
  PrepareLinks(aTable, aRequest.m_gatewayZone);
  PrepareExcluded(aRequest);
  m_linkWeight = std::max(1U, aRequest.m_expectedTokens);
  // Doubtful runners are taken only when no chain exists without them.
  for (const RunnerFilter trust : { RunnerFilter::AnsweredSince,
                                    RunnerFilter::Unsuspected,
                                    RunnerFilter::Any }) {
    ComputeCosts(aNow, *set, aRequest, trust);
    if (ComputeLeastCosts(*set, layers)) {
      return BuildChain(aNow, *set, layers);
    }
  }
  std::uint32_t reached = 0;
  for (std::uint32_t boundary = 0; boundary < layers; ++boundary) {
    for (std::uint32_t zone = 0; zone < m_zones; ++zone) {
      reached = LeastCost(boundary, zone) < kUnreachable ? boundary : reached;
    }
  }
  return FailAtLayer(aRequest, reached);
}

void
ExpectedCompletionPlanner::PrepareLinks(const RunnerTable& aTable,
                                        const std::string& aGatewayZone)
{
  const auto& zones = aTable.Zones();
  if (m_zones > 0 && m_linkZones == zones &&
      m_linkGatewayZone == aGatewayZone) {
    return;
  }
  m_linkZones = zones;
  m_linkGatewayZone = aGatewayZone;
  m_zones = std::max<std::size_t>(zones.size(), 1);
  m_links.assign(m_zones * m_zones, 0.0);
  m_gatewayLinks.assign(m_zones, 0.0);
  for (std::size_t from = 0; from < zones.size(); ++from) {
    m_gatewayLinks[from] =
      ToNs(m_settings.m_links.OneWayLatency(aGatewayZone, zones[from]));
    for (std::size_t to = 0; to < zones.size(); ++to) {
      m_links[from * m_zones + to] =
        ToNs(m_settings.m_links.OneWayLatency(zones[from], zones[to]));
    }
  }
}

void
ExpectedCompletionPlanner::PrepareExcluded(const ChainRequest& aRequest)
{
  m_excluded.clear();
  for (const std::string& id : aRequest.m_excluded) {
    m_excluded.push_back(HashId(id));
  }
}

bool
ExpectedCompletionPlanner::IsExcluded(const Runner& aRunner) const
{
  return std::find(m_excluded.begin(), m_excluded.end(), aRunner.m_idHash) !=
         m_excluded.end();
}

bool
ExpectedCompletionPlanner::MatchesFilter(TimePoint aNow,
                                         const Runner& aRunner,
                                         const ChainRequest& aRequest,
                                         RunnerFilter aFilter)
{
  const RunnerLoad& load = *aRunner.m_load;
  if (aFilter == RunnerFilter::Any) {
    return true;
  }
  const bool suspect =
    load.Circuit(aNow) == CircuitState::Suspect || load.IsUnresponsive(aNow);
  const bool answered = aFilter == RunnerFilter::Unsuspected ||
                        aRequest.m_answeredSince == TimePoint{} ||
                        load.HasAnsweredSince(aRequest.m_answeredSince);
  return !suspect && answered;
}

void
ExpectedCompletionPlanner::ComputeCosts(TimePoint aNow,
                                        const RunnerSet& aSet,
                                        const ChainRequest& aRequest,
                                        RunnerFilter aFilter)
{
  m_costs.assign(aSet.m_runners.size(), {});
  for (std::size_t i = 0; i < aSet.m_runners.size(); ++i) {
    const Runner& runner = *aSet.m_runners[i];
    const bool usable =
      !IsExcluded(runner) && MatchesFilter(aNow, runner, aRequest, aFilter);
    if (usable) {
      m_costs[i] = ComputeCost(aNow, runner, aRequest);
    }
  }
  if (aRequest.m_prefixHash != 0) {
    for (const RangeGroup& group : aSet.m_groups) {
      ApplyPrefixAffinity(aSet, group, aRequest);
    }
  }
}

ExpectedCompletionPlanner::StageCost
ExpectedCompletionPlanner::ComputeCost(TimePoint aNow,
                                       const Runner& aRunner,
                                       const ChainRequest& aRequest) const
{
  const RunnerLoad& load = *aRunner.m_load;
  const double rate = aRunner.m_tokensPerSecond > 0 ? aRunner.m_tokensPerSecond
                                                    : kDefaultTokensPerSecond;
  const double perToken = kNsPerSecond / rate;
  const double slots = std::max(1U, aRunner.m_slots);
  // A runner that batches serves up to its slots side by side; a fuller batch
  // takes longer, and streams beyond the slots wait for another round.
  const double streams = load.EstimateStreams(aNow) + 1.0;
  const double filled = streams / slots;
  const double rounds = std::max(kEmptyStepShare * (1.0 + filled), filled);
  const double slowness = load.Slowdown(aNow);
  const double step = perToken * slots * rounds * slowness;
  double transfer = 0;
  if (m_settings.m_transport == ChainTransport::Relayed) {
    transfer = 2.0 * m_gatewayLinks[aRunner.m_zoneIndex];
  }
  StageCost cost;
  cost.m_usable = true;
  cost.m_load = streams / slots / rate;
  cost.m_interval = transfer + step;
  cost.m_prefill = transfer + step +
                   perToken * slowness * aRequest.m_promptTokens *
                     std::max(1.0, filled) / kPrefillSpeedup;
  const double further = std::max(1U, aRequest.m_expectedTokens) - 1.0;
  cost.m_total = cost.m_prefill + cost.m_interval * further;
  return cost;
}

void
ExpectedCompletionPlanner::ApplyPrefixAffinity(const RunnerSet& aSet,
                                               const RangeGroup& aGroup,
                                               const ChainRequest& aRequest)
{
  // Rendezvous hashing: every gateway prefers the same runner for a prefix,
  // and a vanished runner moves only its own prefixes.
  double loads = 0;
  double usable = 0;
  std::optional<std::size_t> preferred;
  std::uint64_t highest = 0;
  for (std::size_t i = aGroup.m_begin; i < aGroup.m_end; ++i) {
    if (!m_costs[i].m_usable) {
      continue;
    }
    loads += m_costs[i].m_load;
    usable += 1.0;
    const std::uint64_t rank =
      MixBits(aRequest.m_prefixHash ^ aSet.m_runners[i]->m_idHash);
    if (!preferred || rank > highest) {
      preferred = i;
      highest = rank;
    }
  }
  if (!preferred) {
    return;
  }
  StageCost& cost = m_costs[*preferred];
  if (cost.m_load <= m_settings.m_prefixLoadBound * loads / usable) {
    const double saved = cost.m_prefill * m_settings.m_cachedPrefixShare;
    cost.m_prefill -= saved;
    cost.m_total -= saved;
  }
}

double&
ExpectedCompletionPlanner::LeastCost(std::uint32_t aBoundary,
                                     std::uint32_t aZone)
{
  return m_leastCosts[aBoundary * m_zones + aZone];
}

double
ExpectedCompletionPlanner::LinkCost(std::uint32_t aFrom,
                                    std::uint32_t aTo) const
{
  return m_links[aFrom * m_zones + aTo] * m_linkWeight;
}

double
ExpectedCompletionPlanner::CostToReach(const Runner& aRunner) const
{
  const double* row = &m_leastCosts[aRunner.m_firstLayer * m_zones];
  if (aRunner.m_firstLayer == 0) {
    return row[0];
  }
  const bool handsOn = m_settings.m_transport == ChainTransport::Direct;
  double best = kUnreachable;
  for (std::uint32_t zone = 0; zone < m_zones; ++zone) {
    const double link = handsOn ? LinkCost(zone, aRunner.m_zoneIndex) : 0.0;
    best = std::min(best, row[zone] + link);
  }
  return best;
}

bool
ExpectedCompletionPlanner::ComputeLeastCosts(const RunnerSet& aSet,
                                             std::uint32_t aLayers)
{
  m_leastCosts.assign((aLayers + 1) * m_zones, kUnreachable);
  std::fill_n(m_leastCosts.begin(), m_zones, 0.0);
  // Groups are sorted by first layer, so each boundary is final when used.
  for (const RangeGroup& group : aSet.m_groups) {
    for (std::size_t i = group.m_begin; i < group.m_end; ++i) {
      if (!m_costs[i].m_usable) {
        continue;
      }
      const Runner& runner = *aSet.m_runners[i];
      const double total = CostToReach(runner) + m_costs[i].m_total;
      double& best = LeastCost(runner.m_lastLayer + 1, runner.m_zoneIndex);
      best = std::min(best, total);
    }
  }
  for (std::uint32_t zone = 0; zone < m_zones; ++zone) {
    if (LeastCost(aLayers, zone) < kUnreachable) {
      return true;
    }
  }
  return false;
}

std::optional<std::size_t>
ExpectedCompletionPlanner::ChooseRunnerEndingAt(const RunnerSet& aSet,
                                                std::uint32_t aBoundary,
                                                const Runner* aNext)
{
  const bool handsOn =
    aNext && m_settings.m_transport == ChainTransport::Direct;
  const auto costOf = [&](std::size_t aIndex) {
    const Runner& runner = *aSet.m_runners[aIndex];
    const double link =
      handsOn ? LinkCost(runner.m_zoneIndex, aNext->m_zoneIndex) : 0.0;
    return CostToReach(runner) + m_costs[aIndex].m_total + link;
  };
  double best = kUnreachable;
  double stage = 0;
  const auto forEach = [&](auto&& aVisit) {
    for (const RangeGroup& group : aSet.m_groups) {
      if (group.m_lastLayer + 1 != aBoundary) {
        continue;
      }
      for (std::size_t i = group.m_begin; i < group.m_end; ++i) {
        if (m_costs[i].m_usable) {
          aVisit(i, costOf(i));
        }
      }
    }
  };
  forEach([&](std::size_t aIndex, double aCost) {
    if (aCost < best) {
      best = aCost;
      stage = m_costs[aIndex].m_total;
    }
  });
  if (best == kUnreachable) {
    return std::nullopt;
  }
  const double limit = best + stage * m_settings.m_nearEqualShare;
  m_nearEquals.clear();
  forEach([&](std::size_t aIndex, double aCost) {
    if (aCost <= limit) {
      m_nearEquals.push_back(aIndex);
    }
  });
  return m_nearEquals[m_random.Below(m_nearEquals.size())];
}

std::optional<Chain>
ExpectedCompletionPlanner::BuildChain(TimePoint aNow,
                                      const RunnerSet& aSet,
                                      std::uint32_t aLayers)
{
  Chain chain;
  const Runner* next = nullptr;
  double prefill = 0;
  double interval = 0;
  for (std::uint32_t boundary = aLayers; boundary > 0;) {
    const auto chosen = ChooseRunnerEndingAt(aSet, boundary, next);
    if (!chosen) {
      return std::nullopt;
    }
    const RunnerPtr& runner = aSet.m_runners[*chosen];
    runner->m_load->ClaimProbe(aNow);
    chain.m_stages.push_back(
      { runner,
        runner->m_firstLayer,
        runner->m_lastLayer,
        Duration(static_cast<std::int64_t>(m_costs[*chosen].m_interval)) });
    const bool handsOn =
      next && m_settings.m_transport == ChainTransport::Direct;
    const double link =
      handsOn ? LinkCost(runner->m_zoneIndex, next->m_zoneIndex) / m_linkWeight
              : 0.0;
    prefill += m_costs[*chosen].m_prefill + link;
    interval += m_costs[*chosen].m_interval + link;
    next = runner.get();
    boundary = runner->m_firstLayer;
  }
  std::reverse(chain.m_stages.begin(), chain.m_stages.end());
  chain.m_expectedFirstToken = Duration(static_cast<std::int64_t>(prefill));
  chain.m_expectedInterval = Duration(static_cast<std::int64_t>(interval));
  return chain;
}

} // namespace parsleycove
