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
  double m_prefixShare = 0.5;
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
  enum class Trust
  {
    // Those that answered since the time that the request asks for.
    Answered,
    Unsuspected,
    Any,
  };

  static bool IsTrusted(TimePoint aNow,
                        const Runner& aRunner,
                        const ChainRequest& aRequest,
                        Trust aTrust);
  void PrepareLinks(const RunnerTable& aTable, const std::string& aOwnZone);
  void PrepareExcluded(const ChainRequest& aRequest);
  void ComputeCosts(TimePoint aNow,
                    const RunnerSet& aSet,
                    const ChainRequest& aRequest,
                    Trust aTrust);
  StageCost ComputeCost(TimePoint aNow,
                        const Runner& aRunner,
                        const ChainRequest& aRequest) const;
  void PreferByPrefix(const RunnerSet& aSet,
                      const RangeGroup& aGroup,
                      const ChainRequest& aRequest);
  // Fills m_best; false when the model's end was not reached.
  bool RunForward(const RunnerSet& aSet, std::uint32_t aLayers);
  // Least cost of a path that ends where aRunner begins, with the transfer.
  double CostBefore(const Runner& aRunner) const;
  std::optional<std::size_t> ChooseBefore(const RunnerSet& aSet,
                                          std::uint32_t aBoundary,
                                          const Runner* aNext);
  std::optional<Chain> WalkBack(TimePoint aNow,
                                const RunnerSet& aSet,
                                std::uint32_t aLayers);
  double& Best(std::uint32_t aBoundary, std::uint32_t aZone);
  double Link(std::uint32_t aFrom, std::uint32_t aTo) const;
  bool IsExcluded(const Runner& aRunner) const;

  const PlannerSettings m_settings;
  Random m_random;
  // Scratch space, kept to save allocations.
  std::vector<double> m_best; // by boundary and zone
  std::vector<StageCost> m_costs;
  std::vector<std::size_t> m_nearEquals;
  std::vector<std::uint64_t> m_excluded;
  // One-way times between zones, for the table they were computed from.
  std::vector<double> m_links;
  std::vector<double> m_ownLinks;
  std::vector<std::string> m_linkZones;
  std::string m_linkOwnZone;
  std::size_t m_zones = 0;
  // How often a link is crossed: once for each token.
  double m_linkWeight = 1;
};

} // namespace parsleycove
