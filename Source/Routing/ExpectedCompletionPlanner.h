// Plans the chain with the least expected completion time.
#pragma once

#include <cstdint>
#include <vector>

#include "Routing/ChainPlanner.h"
#include "Routing/LinkCosts.h"
#include "Routing/Random.h"

namespace parsleycove {

struct PlannerSettings
{
  ChainTransport m_transport = ChainTransport::Relayed;
  LinkCosts m_links;
  // Runners are near-equal if their path costs more than the best path by at
  // most this share of the best runner's stage cost. The choice among
  // near-equal runners is random, so that gateways with the same reports do not
  // all choose the same runner.
  double m_nearEqualShare = 0.15;
  // Assumed share of the prompt that is cached by the runner preferred for the
  // prefix.
  double m_cachedPrefixShare = 0.5;
  // A runner keeps its preference while its load is at most this multiple of
  // the mean load of its group.
  double m_prefixLoadBound = 1.25;
};

// Finds a shortest path over the boundaries between layers. The cost of a path
// is the expected time to its last token: queueing, transfer and service in
// each stage, for the prompt and for each following token.
class ExpectedCompletionPlanner final : public ChainPlanner
{
public:
  ExpectedCompletionPlanner(PlannerSettings aSettings, std::uint64_t aSeed);

  std::optional<Chain> Plan(TimePoint aNow,
                            const RunnerTable& aTable,
                            const ChainRequest& aRequest) override;

private:
  // Cost that one runner adds to a path, in nanoseconds.
  struct StageCost
  {
    double m_prefill = 0;
    double m_interval = 0;
    double m_total = 0;
    double m_load = 0;
    bool m_usable = false;
  };

  // The runners that a planning pass may use.
  enum class RunnerFilter
  {
    // Runners that answered since ChainRequest::m_answeredSince.
    AnsweredSince,
    Unsuspected,
    Any,
  };

  static bool MatchesFilter(TimePoint aNow,
                            const Runner& aRunner,
                            const ChainRequest& aRequest,
                            RunnerFilter aFilter);
  void PrepareLinks(const RunnerTable& aTable, const std::string& aGatewayZone);
  void PrepareExcluded(const ChainRequest& aRequest);
  void ComputeCosts(TimePoint aNow,
                    const RunnerSet& aSet,
                    const ChainRequest& aRequest,
                    RunnerFilter aFilter);
  StageCost ComputeCost(TimePoint aNow,
                        const Runner& aRunner,
                        const ChainRequest& aRequest) const;
  void ApplyPrefixAffinity(const RunnerSet& aSet,
                           const RangeGroup& aGroup,
                           const ChainRequest& aRequest);
  // Fills m_leastCosts. Returns false if no path reaches the model's end.
  bool ComputeLeastCosts(const RunnerSet& aSet, std::uint32_t aLayers);
  // Returns the least cost of a path that ends where aRunner begins, including
  // the transfer to aRunner.
  double CostToReach(const Runner& aRunner) const;
  std::optional<std::size_t> ChooseRunnerEndingAt(const RunnerSet& aSet,
                                                  std::uint32_t aBoundary,
                                                  const Runner* aNext);
  std::optional<Chain> BuildChain(TimePoint aNow,
                                  const RunnerSet& aSet,
                                  std::uint32_t aLayers);
  double& LeastCost(std::uint32_t aBoundary, std::uint32_t aZone);
  double LinkCost(std::uint32_t aFrom, std::uint32_t aTo) const;
  bool IsExcluded(const Runner& aRunner) const;

  const PlannerSettings m_settings;
  Random m_random;
  // Buffers that are reused to save allocations.
  std::vector<double> m_leastCosts; // by boundary and zone
  std::vector<StageCost> m_costs;
  std::vector<std::size_t> m_nearEquals;
  std::vector<std::uint64_t> m_excluded;
  // One-way times in nanoseconds between zones, computed for m_linkZones and
  // m_linkGatewayZone.
  std::vector<double> m_links;
  std::vector<double> m_gatewayLinks;
  std::vector<std::string> m_linkZones;
  std::string m_linkGatewayZone;
  std::size_t m_zones = 0;
  // Number of times that a link is crossed: once for each token.
  double m_linkWeight = 1;
};

} // namespace parsleycove
