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
  // Runners whose path costs at most this share more than the best one are
  // near-equal; among them the choice is random.
  double m_nearEqualShare = 0.15;
  // Share of the prompt that a runner preferred by prefix is taken to hold.
  double m_cachedPrefixShare = 0.5;
  // A preferred runner keeps its preference up to this multiple of the mean
  // load of its group.
  double m_prefixLoadBound = 1.25;
};

// Shortest path over the boundaries between layers. A path's cost is the
// expected time to its last token: queue, transfer and service of each stage,
// for the prompt and for each token to come.
class ExpectedCompletionPlanner final : public ChainPlanner
{
public:
  ExpectedCompletionPlanner(PlannerSettings aSettings, std::uint64_t aSeed);

  std::optional<Chain> Plan(TimePoint aNow,
                            const RunnerTable& aTable,
                            const ChainRequest& aRequest) override;

private:
  // What one runner would add to a path, in nanoseconds.
  struct StageCost
  {
    double m_prefill = 0;
    double m_interval = 0;
    double m_total = 0;
    double m_load = 0;
    bool m_usable = false;
  };

  // Which runners a pass takes.
  enum class RunnerFilter
  {
    // Those that answered since the time that the request asks for.
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
  // Fills m_leastCosts; false when the model's end was not reached.
  bool ComputeLeastCosts(const RunnerSet& aSet, std::uint32_t aLayers);
  // Least cost of a path that ends where aRunner begins, with the transfer.
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
  // Scratch space, kept to save allocations.
  std::vector<double> m_leastCosts; // by boundary and zone
  std::vector<StageCost> m_costs;
  std::vector<std::size_t> m_nearEquals;
  std::vector<std::uint64_t> m_excluded;
  // One-way times between zones, for the table they were computed from.
  std::vector<double> m_links;
  std::vector<double> m_gatewayLinks;
  std::vector<std::string> m_linkZones;
  std::string m_linkGatewayZone;
  std::size_t m_zones = 0;
  // How often a link is crossed: once for each token.
  double m_linkWeight = 1;
};

} // namespace parsleycove
