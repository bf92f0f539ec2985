// Upper bound of the throughput that any routing over a set of runners can
// reach.
#include "Routing/FlowBound.h"

#include <algorithm>
#include <limits>

#include "Routing/FlowNetwork.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

std::vector<std::string>
ListZones(const std::vector<StageRate>& aRunners)
{
  std::vector<std::string> zones;
  for (const StageRate& runner : aRunners) {
    zones.push_back(runner.m_zone);
  }
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

// Node numbers of the flow network of one model. At each boundary between
// layers, every zone has a node for tokens that leave a stage and a node for
// tokens that enter the next stage.
class BoundaryNodes
{
public:
  BoundaryNodes(std::uint32_t aLayers, std::vector<std::string> aZones)
    : m_zones(std::move(aZones))
    , m_layers(aLayers)
  {
  }

  std::size_t Count() const
  {
    return 2 * (m_layers + std::size_t{ 1 }) * m_zones.size() + 2;
  }
  std::size_t Source() const { return Count() - 2; }
  std::size_t Sink() const { return Count() - 1; }
  const std::vector<std::string>& Zones() const { return m_zones; }
  std::size_t Leaving(std::uint32_t aBoundary, std::size_t aZone) const
  {
    return 2 * (aBoundary * m_zones.size() + aZone);
  }
  std::size_t Entering(std::uint32_t aBoundary, std::size_t aZone) const
  {
    return Leaving(aBoundary, aZone) + 1;
  }
  std::size_t ZoneIndex(const std::string& aZone) const
  {
    const auto found = std::find(m_zones.begin(), m_zones.end(), aZone);
    return static_cast<std::size_t>(found - m_zones.begin());
  }

private:
  std::vector<std::string> m_zones;
  std::uint32_t m_layers;
};

// Returns the capacity of the links from aFrom to aTo. All boundaries share
// this capacity, but a flow network has no edge for that, so each boundary gets
// the full capacity; the result remains an upper bound.
double
LinkCapacity(const std::vector<ZoneLink>& aLinks,
             const std::string& aFrom,
             const std::string& aTo)
{
  for (const ZoneLink& link : aLinks) {
    if (link.m_from == aFrom && link.m_to == aTo) {
      return link.m_tokensPerSecond;
    }
  }
  return kUnlimited;
}

void
AddLinks(FlowNetwork& aNetwork,
         const BoundaryNodes& aNodes,
         std::uint32_t aBoundary,
         const std::vector<ZoneLink>& aLinks)
{
  const auto& zones = aNodes.Zones();
  for (std::size_t from = 0; from < zones.size(); ++from) {
    for (std::size_t to = 0; to < zones.size(); ++to) {
      aNetwork.AddEdge(aNodes.Leaving(aBoundary, from),
                       aNodes.Entering(aBoundary, to),
                       LinkCapacity(aLinks, zones[from], zones[to]));
    }
  }
}

} // namespace

double
ComputeFlowBound(std::uint32_t aLayers,
                 const std::vector<StageRate>& aRunners,
                 const std::vector<ZoneLink>& aLinks)
{
  const BoundaryNodes nodes(aLayers, ListZones(aRunners));
  FlowNetwork network(nodes.Count());
  std::vector<bool> used(aLayers + 1, false);
  for (const StageRate& runner : aRunners) {
    const bool valid =
      runner.m_firstLayer <= runner.m_lastLayer && runner.m_lastLayer < aLayers;
    if (!valid) {
      continue;
    }
    const std::size_t zone = nodes.ZoneIndex(runner.m_zone);
    network.AddEdge(nodes.Entering(runner.m_firstLayer, zone),
                    nodes.Leaving(runner.m_lastLayer + 1, zone),
                    runner.m_tokensPerSecond);
    used[runner.m_firstLayer] = true;
  }
  for (std::size_t zone = 0; zone < nodes.Zones().size(); ++zone) {
    network.AddEdge(nodes.Source(), nodes.Entering(0, zone), kUnlimited);
    network.AddEdge(nodes.Leaving(aLayers, zone), nodes.Sink(), kUnlimited);
  }
  for (std::uint32_t boundary = 1; boundary < aLayers; ++boundary) {
    if (used[boundary]) {
      AddLinks(network, nodes, boundary, aLinks);
    }
  }
  return network.MaximumFlow(nodes.Source(), nodes.Sink());
}

double
ComputeFlowBound(const RunnerTable& aTable,
                 const std::string& aModel,
                 const std::string& aVersion)
{
  const ModelRunners* model = aTable.FindModel(aModel);
  if (!model) {
    return 0;
  }
  const RunnerSet* set = aVersion.empty() ? model->FindServedVersion()
                                          : model->FindVersion(aVersion);
  std::vector<StageRate> rates;
  if (set) {
    for (const RunnerPtr& runner : set->m_runners) {
      rates.push_back({ runner->m_firstLayer,
                        runner->m_lastLayer,
                        runner->m_tokensPerSecond,
                        {} });
    }
  }
  return ComputeFlowBound(model->m_layers, rates, {});
}

} // namespace parsleycove
