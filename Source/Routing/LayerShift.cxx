// Moves the borders between the engines of a chain so that it holds all layers.
#include "Routing/LayerShift.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace parsleycove {

namespace {

constexpr std::uint64_t kUnreached = std::numeric_limits<std::uint64_t>::max();

std::uint32_t
Overlap(const LayerSpan& aLeft, const LayerSpan& aRight)
{
  const std::uint32_t first = std::max(aLeft.m_first, aRight.m_first);
  const std::uint32_t end = std::min(aLeft.m_end, aRight.m_end);
  return end > first ? end - first : 0;
}

// Cheapest way by which the hosts so far hold the layers up to a border.
struct PrefixAssignment
{
  std::uint64_t m_cost = kUnreached;
  // Where the last host's part begins.
  std::uint32_t m_from = 0;
};

// Layers [m_first, m_end) for each host, in the order of the hosts.
struct Parts
{
  std::vector<LayerSpan> m_parts;
  std::uint64_t m_cost = kUnreached;
};

// Cheapest parts in this order of the hosts.
Parts
Partition(std::uint32_t aLayers, const std::vector<ShiftHost>& aOrdered)
{
  std::vector<std::vector<PrefixAssignment>> prefix(
    aOrdered.size() + 1, std::vector<PrefixAssignment>(aLayers + 1));
  prefix[0][0].m_cost = 0;
  for (std::size_t i = 0; i < aOrdered.size(); ++i) {
    const ShiftHost& host = aOrdered[i];
    for (std::uint32_t from = 0; from <= aLayers; ++from) {
      if (prefix[i][from].m_cost == kUnreached) {
        continue;
      }
      const std::uint32_t last = std::min(aLayers, from + host.m_maxLayers);
      for (std::uint32_t end = from; end <= last; ++end) {
        const std::uint64_t loads =
          host.m_isFree ? 0 : end - from - Overlap({ from, end }, host.m_holds);
        const std::uint64_t cost = prefix[i][from].m_cost + loads * loads;
        if (cost < prefix[i + 1][end].m_cost) {
          prefix[i + 1][end] = { cost, from };
        }
      }
    }
  }
  Parts parts;
  parts.m_cost = prefix[aOrdered.size()][aLayers].m_cost;
  if (parts.m_cost == kUnreached) {
    return parts;
  }
  parts.m_parts.resize(aOrdered.size());
  std::uint32_t end = aLayers;
  for (std::size_t i = aOrdered.size(); i-- > 0;) {
    parts.m_parts[i] = { prefix[i + 1][end].m_from, end };
    end = parts.m_parts[i].m_first;
  }
  return parts;
}

// The part, and as many of the host's present layers as fit beside it.
LayerSpan
IncludeHeldLayers(const LayerSpan& aPart, const ShiftHost& aHost)
{
  const LayerSpan& holds = aHost.m_holds;
  if (Overlap(aPart, holds) == aPart.Length() &&
      holds.Length() <= aHost.m_maxLayers) {
    return holds;
  }
  const bool touches =
    aPart.m_first <= holds.m_end && holds.m_first <= aPart.m_end;
  if (!touches) {
    return aPart;
  }
  LayerSpan span = aPart;
  std::uint32_t spare = aHost.m_maxLayers - span.Length();
  const std::uint32_t before =
    std::min(spare, span.m_first - std::min(span.m_first, holds.m_first));
  span.m_first -= before;
  spare -= before;
  span.m_end += std::min(spare, std::max(span.m_end, holds.m_end) - span.m_end);
  return span;
}

// Hosts that hold something, by where their layers begin.
std::vector<std::size_t>
OrderHosts(const std::vector<ShiftHost>& aHosts)
{
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    if (!aHosts[i].m_holds.IsEmpty()) {
      order.push_back(i);
    }
  }
  std::stable_sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const LayerSpan& left = aHosts[aLeft].m_holds;
      const LayerSpan& right = aHosts[aRight].m_holds;
      return std::make_pair(left.m_first, left.m_end) <
             std::make_pair(right.m_first, right.m_end);
    });
  return order;
}

std::vector<ShiftHost>
Reorder(const std::vector<ShiftHost>& aHosts,
        const std::vector<std::size_t>& aOrder)
{
  std::vector<ShiftHost> ordered;
  for (const std::size_t place : aOrder) {
    ordered.push_back(aHosts[place]);
  }
  return ordered;
}

} // namespace

LayerShift
ShiftLayers(std::uint32_t aLayers, const std::vector<ShiftHost>& aHosts)
{
  const std::vector<std::size_t> order = OrderHosts(aHosts);
  const Parts parts = Partition(aLayers, Reorder(aHosts, order));
  LayerShift shift;
  shift.m_cost = parts.m_cost;
  if (parts.m_parts.empty()) {
    return shift;
  }
  shift.m_spans.resize(aHosts.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    const ShiftHost& host = aHosts[order[i]];
    shift.m_spans[order[i]] = parts.m_parts[i].IsEmpty()
                                ? host.m_holds
                                : IncludeHeldLayers(parts.m_parts[i], host);
  }
  return shift;
}

LayerSpan
FindOffloadPart(std::uint32_t aLayers,
                const std::vector<ShiftHost>& aHosts,
                std::uint32_t aMaxLayers)
{
  const auto sorted = Reorder(aHosts, OrderHosts(aHosts));
  for (std::size_t place = 0; place <= sorted.size(); ++place) {
    std::vector<ShiftHost> hosts = sorted;
    hosts.insert(hosts.begin() + static_cast<std::ptrdiff_t>(place),
                 { {}, aMaxLayers, true });
    const Parts parts = Partition(aLayers, hosts);
    if (parts.m_cost == 0 && !parts.m_parts[place].IsEmpty()) {
      return parts.m_parts[place];
    }
  }
  return {};
}

} // namespace parsleycove
