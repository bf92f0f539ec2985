// Finds the fastest way through all layers of a model, once and in order.
#include "Routing/LayerPath.h"

#include <algorithm>
#include <limits>
#include <set>

namespace parsleycove {

namespace {

constexpr double kUnreached = std::numeric_limits<double>::max();
constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

// The best known way that ends before a layer on a given engine.
struct Arrival
{
  double m_cost = kUnreached;
  std::size_t m_parts = 0;
  // Where the last part began, and the engine of the part before it.
  std::uint32_t m_from = 0;
  std::size_t m_before = kNone;
};

class PathSearch
{
public:
  PathSearch(std::uint32_t aLayers,
             const std::vector<PathHost>& aHosts,
             const PathCosts& aCosts,
             const std::vector<bool>& aBarred)
    : m_layers(aLayers)
    , m_hosts(aHosts)
    , m_costs(aCosts)
    , m_barred(aBarred)
    , m_arrivals(aLayers + 1, std::vector<Arrival>(aHosts.size()))
  {
    for (const PathHost& host : aHosts) {
      if (host.m_penalty > 0) {
        m_cuts.insert(std::min(host.m_holds.m_first, aLayers));
        m_cuts.insert(std::min(host.m_holds.m_end, aLayers));
      }
    }
    m_cuts.insert(0);
    m_cuts.insert(aLayers);
  }

  std::vector<PathPart> Find()
  {
    for (const std::uint32_t from : m_cuts) {
      for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (Covers(host, from)) {
          Extend(host, from);
        }
      }
    }
    return Trace();
  }

private:
  bool Covers(std::size_t aHost, std::uint32_t aLayer) const
  {
    const PathHost& host = m_hosts[aHost];
    return host.m_penalty > 0 && !m_barred[aHost] &&
           host.m_holds.m_first <= aLayer && aLayer < host.m_holds.m_end;
  }

  double HopCost(std::size_t aFrom, std::size_t aTo) const
  {
    return m_hosts[aFrom].m_zone == m_hosts[aTo].m_zone ? m_costs.m_hopMs
                                                        : m_costs.m_zoneHopMs;
  }

  // The cheapest engine to come from, with the cost up to and with the hop.
  std::pair<std::size_t, double> FindBefore(std::size_t aHost,
                                            std::uint32_t aFrom) const
  {
    std::pair<std::size_t, double> best{ kNone, kUnreached };
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
      const Arrival& arrival = m_arrivals[aFrom][i];
      const bool usable = i != aHost && arrival.m_cost < kUnreached &&
                          arrival.m_parts < m_costs.m_maxParts;
      if (usable && arrival.m_cost + HopCost(i, aHost) < best.second) {
        best = { i, arrival.m_cost + HopCost(i, aHost) };
      }
    }
    return best;
  }

  void Extend(std::size_t aHost, std::uint32_t aFrom)
  {
    std::pair<std::size_t, double> before{ kNone, 0 };
    if (aFrom != 0) {
      before = FindBefore(aHost, aFrom);
      if (before.first == kNone) {
        return;
      }
    }
    const PathHost& host = m_hosts[aHost];
    const double perLayer = host.m_stepMs * host.m_penalty / m_layers;
    for (auto cut = m_cuts.upper_bound(aFrom);
         cut != m_cuts.end() && *cut <= host.m_holds.m_end;
         ++cut) {
      const double cost = before.second + perLayer * (*cut - aFrom);
      Arrival& arrival = m_arrivals[*cut][aHost];
      if (cost < arrival.m_cost) {
        const std::size_t parts =
          aFrom == 0 ? 0 : m_arrivals[aFrom][before.first].m_parts;
        arrival = { cost, parts + 1, aFrom, before.first };
      }
    }
  }

  std::vector<PathPart> Trace() const
  {
    const auto& last = m_arrivals[m_layers];
    const auto best =
      std::min_element(last.begin(),
                       last.end(),
                       [](const Arrival& aLeft, const Arrival& aRight) {
                         return aLeft.m_cost < aRight.m_cost;
                       });
    std::vector<PathPart> parts;
    if (best == last.end() || best->m_cost == kUnreached) {
      return parts;
    }
    std::size_t host = static_cast<std::size_t>(best - last.begin());
    std::uint32_t end = m_layers;
    while (host != kNone) {
      const Arrival& arrival = m_arrivals[end][host];
      parts.push_back({ host, { arrival.m_from, end } });
      end = arrival.m_from;
      host = arrival.m_before;
    }
    std::reverse(parts.begin(), parts.end());
    return parts;
  }

  const std::uint32_t m_layers;
  const std::vector<PathHost>& m_hosts;
  const PathCosts& m_costs;
  const std::vector<bool>& m_barred;
  // Layers at which some engine's range begins or ends.
  std::set<std::uint32_t> m_cuts;
  // By the layer before which a part ends, and the engine of that part.
  std::vector<std::vector<Arrival>> m_arrivals;
};

// The engine between two parts of an engine that appears twice; kNone: none.
std::size_t
FindDetour(const std::vector<PathPart>& aPath)
{
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    for (std::size_t j = i + 1; j < aPath.size(); ++j) {
      if (aPath[i].m_host == aPath[j].m_host) {
        return aPath[i + 1].m_host;
      }
    }
  }
  return kNone;
}

} // namespace

std::vector<PathPart>
FindLayerPath(std::uint32_t aLayers,
              const std::vector<PathHost>& aHosts,
              const PathCosts& aCosts)
{
  std::vector<bool> barred(aHosts.size(), false);
  for (std::size_t i = 0; aLayers != 0 && i <= aHosts.size(); ++i) {
    std::vector<PathPart> path =
      PathSearch(aLayers, aHosts, aCosts, barred).Find();
    const std::size_t detour = FindDetour(path);
    if (detour == kNone) {
      return path;
    }
    barred[detour] = true;
  }
  return {};
}

double
EstimateStepMs(std::uint32_t aLayers,
               const std::vector<PathHost>& aHosts,
               const std::vector<PathPart>& aPath,
               const PathCosts& aCosts)
{
  double sum = 0;
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    const PathHost& host = aHosts[aPath[i].m_host];
    sum += host.m_stepMs * aPath[i].m_span.Length() / aLayers;
    if (i != 0) {
      const bool sameZone = aHosts[aPath[i - 1].m_host].m_zone == host.m_zone;
      sum += sameZone ? aCosts.m_hopMs : aCosts.m_zoneHopMs;
    }
  }
  return sum;
}

} // namespace parsleycove
