// Finds the fastest path that runs each layer of a model once and in order.
#include "Routing/LayerPath.h"

#include <algorithm>
#include <limits>
#include <set>

namespace parsleycove {

namespace {

constexpr double kUnreached = std::numeric_limits<double>::max();
constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

// The cheapest known partial path whose last part runs on a given engine and
// ends previous a given layer.
struct Arrival
{
  double m_cost = kUnreached;
  std::size_t m_parts = 0;
  // First layer of the last part, and the engine of the part previous it.
  std::uint32_t m_from = 0;
  std::size_t m_previous = kNone;
};

class PathSearch
{
public:
  PathSearch(std::uint32_t aLayers,
             const std::vector<PathHost>& aHosts,
             const PathCosts& aCosts,
             const std::vector<bool>& aExcluded)
    : m_layers(aLayers)
    , m_hosts(aHosts)
    , m_costs(aCosts)
    , m_excluded(aExcluded)
    , m_arrivals(aLayers + 1, std::vector<Arrival>(aHosts.size()))
  {
    for (const PathHost& host : aHosts) {
      if (host.m_penalty > 0) {
        m_boundaries.insert(std::min(host.m_holds.m_first, aLayers));
        m_boundaries.insert(std::min(host.m_holds.m_end, aLayers));
      }
    }
    m_boundaries.insert(0);
    m_boundaries.insert(aLayers);
  }

  std::vector<PathPart> Find()
  {
    for (const std::uint32_t from : m_boundaries) {
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
    return host.m_penalty > 0 && !m_excluded[aHost] &&
           host.m_holds.m_first <= aLayer && aLayer < host.m_holds.m_end;
  }

  double HopCost(std::size_t aFrom, std::size_t aTo) const
  {
    return m_hosts[aFrom].m_zone == m_hosts[aTo].m_zone ? m_costs.m_hopMs
                                                        : m_costs.m_zoneHopMs;
  }

  // Returns the engine of the cheapest preceding part, with the cost including
  // the hop to aHost; kNone if there is none.
  std::pair<std::size_t, double> FindPredecessor(std::size_t aHost,
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
    std::pair<std::size_t, double> previous{ kNone, 0 };
    if (aFrom != 0) {
      previous = FindPredecessor(aHost, aFrom);
      if (previous.first == kNone) {
        return;
      }
    }
    const PathHost& host = m_hosts[aHost];
    const double perLayer =
      host.m_stepMs * host.m_penalty * host.m_avoidance / m_layers;
    for (auto boundary = m_boundaries.upper_bound(aFrom);
         boundary != m_boundaries.end() && *boundary <= host.m_holds.m_end;
         ++boundary) {
      const double cost = previous.second + perLayer * (*boundary - aFrom);
      Arrival& arrival = m_arrivals[*boundary][aHost];
      if (cost < arrival.m_cost) {
        const std::size_t parts =
          aFrom == 0 ? 0 : m_arrivals[aFrom][previous.first].m_parts;
        arrival = { cost, parts + 1, aFrom, previous.first };
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
      host = arrival.m_previous;
    }
    std::reverse(parts.begin(), parts.end());
    return parts;
  }

  const std::uint32_t m_layers;
  const std::vector<PathHost>& m_hosts;
  const PathCosts& m_costs;
  const std::vector<bool>& m_excluded;
  // Layers at which the range of an engine begins or ends.
  std::set<std::uint32_t> m_boundaries;
  // Indexed by the layer previous which a part ends, then by the engine of that
  // part.
  std::vector<std::vector<Arrival>> m_arrivals;
};

// Returns the engine that follows the first part of an engine that appears
// twice; kNone if no engine does.
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
  std::vector<bool> excluded(aHosts.size(), false);
  for (std::size_t i = 0; aLayers != 0 && i <= aHosts.size(); ++i) {
    std::vector<PathPart> path =
      PathSearch(aLayers, aHosts, aCosts, excluded).Find();
    const std::size_t detour = FindDetour(path);
    if (detour == kNone) {
      return path;
    }
    excluded[detour] = true;
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
