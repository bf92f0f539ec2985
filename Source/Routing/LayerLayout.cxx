// Decides which layers of a model each engine holds.
#include "Routing/LayerLayout.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

#include "Routing/LayerCoverage.h"

namespace parsleycove {

namespace {

constexpr double kBytesPerMb = 1e6;
// Rooms that are tried, as parts of the wanted one.
constexpr int kKvCapacitySteps = 16;
// A shift that leaves more kvCapacity for requests may cost so many times what
// the cheapest one does.
constexpr double kMaxShiftCostFactor = 2;

// Layers that an engine holds beside kvCapacity for that many tokens.
std::uint32_t
MaxLayerCount(const LayeredModel& aModel,
              const LayoutHost& aHost,
              double aKvCapacityTokens)
{
  const AcceleratorKind* kind = aModel.FindKind(aHost.m_kind);
  if (kind == nullptr || aModel.m_layerMb <= 0 || aModel.m_layers == 0) {
    return 0;
  }
  const double requestMb =
    aModel.m_tokenBytes / aModel.m_layers * aKvCapacityTokens / kBytesPerMb;
  const double count =
    std::floor(kind->m_memoryMb / (aModel.m_layerMb + requestMb));
  return static_cast<std::uint32_t>(
    std::clamp(count, 0.0, static_cast<double>(aModel.m_layers)));
}

std::uint64_t
TotalLayerCapacity(const LayeredModel& aModel,
                   const std::vector<LayoutHost>& aHosts,
                   double aKvCapacityTokens)
{
  std::uint64_t sum = 0;
  for (const LayoutHost& host : aHosts) {
    sum += MaxLayerCount(aModel, host, aKvCapacityTokens);
  }
  return sum;
}

std::vector<ShiftHost>
MakeShiftHosts(const LayeredModel& aModel,
               const std::vector<LayoutHost>& aHosts,
               double aKvCapacityTokens)
{
  std::vector<ShiftHost> hosts;
  for (const LayoutHost& host : aHosts) {
    hosts.push_back(
      { host.m_holds, MaxLayerCount(aModel, host, aKvCapacityTokens) });
  }
  return hosts;
}

LayerCoverage
CountCoverage(const LayeredModel& aModel, const std::vector<LayoutHost>& aHosts)
{
  LayerCoverage coverage(aModel.m_layers);
  for (const LayoutHost& host : aHosts) {
    coverage.Add(host.m_holds);
  }
  return coverage;
}

std::uint32_t
Overlap(const LayerSpan& aLeft, const LayerSpan& aRight)
{
  const std::uint32_t first = std::max(aLeft.m_first, aRight.m_first);
  const std::uint32_t end = std::min(aLeft.m_end, aRight.m_end);
  return end > first ? end - first : 0;
}

bool
CoversAllLayers(const LayeredModel& aModel,
                const std::vector<LayoutHost>& aHosts)
{
  return CountCoverage(aModel, aHosts).MinCount({ 0, aModel.m_layers }) != 0;
}

// What an engine can do about layers that nobody holds.
struct CoverageCandidate
{
  LayerSpan m_span;
  // It gives up what it holds.
  bool m_isMove = false;

  // Growing goes before moving, which breaks off what passes through; the
  // later of two movers is of a slower kind.
  bool IsBetterThan(const CoverageCandidate& aOther,
                    const LayerSpan& aUncovered) const
  {
    if (aOther.m_span.IsEmpty()) {
      return true;
    }
    if (m_isMove != aOther.m_isMove) {
      return aOther.m_isMove;
    }
    const std::uint32_t own = Overlap(m_span, aUncovered);
    const std::uint32_t other = Overlap(aOther.m_span, aUncovered);
    return own > other || (own == other && m_isMove);
  }
};

CoverageCandidate
MakeCandidate(const LayoutHost& aHost,
              std::uint32_t aMaxLayers,
              const LayerSpan& aUncovered,
              const LayerCoverage& aCoverage)
{
  const LayerSpan& holds = aHost.m_holds;
  if (holds.IsEmpty() || aMaxLayers == 0) {
    return {};
  }
  const std::uint32_t more =
    aMaxLayers > holds.Length() ? aMaxLayers - holds.Length() : 0;
  if (holds.m_end == aUncovered.m_first && more != 0) {
    return { { holds.m_first, std::min(aUncovered.m_end, holds.m_end + more) },
             false };
  }
  if (holds.m_first == aUncovered.m_end && more != 0) {
    return { { holds.m_first - std::min(more, aUncovered.Length()),
               holds.m_end },
             false };
  }
  if (aCoverage.MinCount(holds) > 1) {
    return { { aUncovered.m_first,
               std::min(aUncovered.m_end, aUncovered.m_first + aMaxLayers) },
             true };
  }
  return {};
}

} // namespace

LayerLayout::LayerLayout(LayoutSettings aSettings)
  : m_settings(aSettings)
{
}

LayerLayout::Groups
LayerLayout::GroupByZone(const LayeredModel& aModel,
                         const std::vector<LayoutHost>& aHosts) const
{
  std::map<std::string, std::vector<LayoutHost>> zones;
  for (const LayoutHost& host : aHosts) {
    zones[host.m_zone].push_back(host);
  }
  Groups groups;
  std::vector<LayoutHost> rest;
  for (auto& [zone, hosts] : zones) {
    if (TotalLayerCapacity(aModel, hosts, m_settings.m_minKvCapacityTokens) >=
        aModel.m_layers) {
      groups.push_back(std::move(hosts));
      continue;
    }
    rest.insert(rest.end(), hosts.begin(), hosts.end());
    if (TotalLayerCapacity(aModel, rest, m_settings.m_minKvCapacityTokens) >=
        aModel.m_layers) {
      groups.push_back(std::exchange(rest, {}));
    }
  }
  if (rest.empty()) {
    return groups;
  }
  if (groups.empty()) {
    groups.push_back(std::move(rest));
  } else {
    groups.back().insert(groups.back().end(), rest.begin(), rest.end());
  }
  return groups;
}

double
LayerLayout::ChooseKvCapacity(const LayeredModel& aModel,
                              const std::vector<LayoutHost>& aHosts) const
{
  for (int step = kKvCapacitySteps; step > 0; --step) {
    const double kvCapacity =
      m_settings.m_kvCapacityTokens * step / kKvCapacitySteps;
    if (TotalLayerCapacity(aModel, aHosts, kvCapacity) >= aModel.m_layers) {
      return kvCapacity;
    }
  }
  return 0;
}

void
LayerLayout::AssignEmptyEngines(const LayeredModel& aModel,
                                std::vector<LayoutHost>& aHosts) const
{
  const double kvCapacity = ChooseKvCapacity(aModel, aHosts);
  LayerCoverage coverage = CountCoverage(aModel, aHosts);
  for (LayoutHost& host : aHosts) {
    const std::uint32_t maxLayers = MaxLayerCount(aModel, host, kvCapacity);
    if (!host.m_holds.IsEmpty() || maxLayers == 0) {
      continue;
    }
    LayerSpan span = coverage.FindLeastCovered();
    if (coverage.MinCount(span) != 0) {
      const LayerSpan offload =
        FindOffloadSpan(aModel, aHosts, maxLayers, kvCapacity);
      span = offload.IsEmpty() ? span : offload;
    }
    span.m_end = std::min(span.m_end, span.m_first + maxLayers);
    coverage.Add(span);
    host.m_holds = span;
  }
}

LayerSpan
LayerLayout::FindOffloadSpan(const LayeredModel& aModel,
                             const std::vector<LayoutHost>& aHosts,
                             std::uint32_t aMaxLayers,
                             double aKvCapacityTokens) const
{
  const auto hosts = MakeShiftHosts(aModel, aHosts, aKvCapacityTokens);
  const bool isOverloaded =
    std::any_of(hosts.begin(), hosts.end(), [](const ShiftHost& aHost) {
      return aHost.m_holds.Length() > aHost.m_maxLayers;
    });
  if (!isOverloaded || ShiftLayers(aModel.m_layers, hosts).m_cost == 0) {
    return {};
  }
  LayerSpan span = FindOffloadPart(aModel.m_layers, hosts, aMaxLayers);
  if (!span.IsEmpty()) {
    // What is left of its memory holds the layers that follow.
    span.m_end = std::min(span.m_first + aMaxLayers, aModel.m_layers);
  }
  return span;
}

void
LayerLayout::TrimOverloadedEngines(const LayeredModel& aModel,
                                   std::vector<LayoutHost>& aHosts) const
{
  const bool isLoading =
    std::any_of(aHosts.begin(), aHosts.end(), [](const LayoutHost& aHost) {
      return !aHost.m_isReported;
    });
  if (isLoading) {
    return;
  }
  const double kvCapacity = ChooseKvCapacity(aModel, aHosts);
  const LayerShift whole =
    ShiftLayers(aModel.m_layers, MakeShiftHosts(aModel, aHosts, kvCapacity));
  LayerCoverage coverage = CountCoverage(aModel, aHosts);
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    LayoutHost& host = aHosts[i];
    const std::uint32_t fits = MaxLayerCount(aModel, host, kvCapacity);
    if (fits == 0 || host.m_holds.Length() <= fits) {
      continue;
    }
    // Borders that nobody needs to load for, or what others happen to hold.
    const LayerSpan span = whole.m_cost == 0 && !whole.m_spans.empty()
                             ? whole.m_spans[i]
                             : coverage.Trim(host.m_holds, fits);
    coverage.Remove(host.m_holds);
    coverage.Add(span);
    host.m_holds = span;
  }
}

void
LayerLayout::PlanGroup(const LayeredModel& aModel,
                       const std::vector<LayoutHost>& aHosts,
                       bool aCanMoveBoundaries,
                       std::vector<LayoutOrder>& aOrders) const
{
  std::vector<LayoutHost> planned = aHosts;
  TrimOverloadedEngines(aModel, planned);
  AssignEmptyEngines(aModel, planned);
  const std::vector<LayoutHost> filled = planned;
  const bool isLoading =
    std::any_of(aHosts.begin(), aHosts.end(), [](const LayoutHost& aHost) {
      return aHost.m_isLoading;
    });
  if (!isLoading) {
    CoverUncoveredLayers(aModel, planned);
  }
  const bool canHoldAll =
    !isLoading && aCanMoveBoundaries &&
    TotalLayerCapacity(aModel, aHosts, m_settings.m_minKvCapacityTokens) >=
      aModel.m_layers;
  if (!CoversAllLayers(aModel, planned)) {
    // A uncovered that is not closed is as wide as before.
    planned = filled;
  }
  if (!CoversAllLayers(aModel, planned) && canHoldAll &&
      !ShiftBoundaries(aModel, planned)) {
    // Nothing passes through a chain with a uncovered, so all may move.
    for (LayoutHost& host : planned) {
      host.m_holds = {};
    }
    AssignEmptyEngines(aModel, planned);
  }
  for (std::size_t i = 0; i < planned.size(); ++i) {
    if (planned[i].m_holds != aHosts[i].m_holds) {
      aOrders.push_back(
        { planned[i].m_id, planned[i].m_incarnation, planned[i].m_holds });
    }
  }
}

bool
LayerLayout::ShiftBoundaries(const LayeredModel& aModel,
                             std::vector<LayoutHost>& aHosts) const
{
  const auto shiftAt = [&](double aKvCapacityTokens) {
    return ShiftLayers(aModel.m_layers,
                       MakeShiftHosts(aModel, aHosts, aKvCapacityTokens));
  };
  LayerShift best = shiftAt(m_settings.m_minKvCapacityTokens);
  if (best.m_spans.empty()) {
    return false;
  }
  const double maxLayers =
    static_cast<double>(best.m_cost) * kMaxShiftCostFactor;
  for (int step = kKvCapacitySteps; step > 0; --step) {
    const double kvCapacity =
      m_settings.m_kvCapacityTokens * step / kKvCapacitySteps;
    if (kvCapacity <= m_settings.m_minKvCapacityTokens) {
      break;
    }
    LayerShift wider = shiftAt(kvCapacity);
    if (!wider.m_spans.empty() &&
        static_cast<double>(wider.m_cost) <= maxLayers) {
      best = std::move(wider);
      break;
    }
  }
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    aHosts[i].m_holds = best.m_spans[i];
  }
  return true;
}

void
LayerLayout::CoverUncoveredLayers(const LayeredModel& aModel,
                                  std::vector<LayoutHost>& aHosts) const
{
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    const LayerCoverage coverage = CountCoverage(aModel, aHosts);
    const LayerSpan uncovered = coverage.FindLeastCovered();
    if (coverage.MinCount(uncovered) != 0) {
      return;
    }
    LayoutHost* chosen = nullptr;
    CoverageCandidate best;
    for (LayoutHost& host : aHosts) {
      const std::uint32_t maxLayers =
        MaxLayerCount(aModel, host, m_settings.m_minKvCapacityTokens);
      const CoverageCandidate candidate =
        MakeCandidate(host, maxLayers, uncovered, coverage);
      if (!candidate.m_span.IsEmpty() &&
          candidate.IsBetterThan(best, uncovered)) {
        chosen = &host;
        best = candidate;
      }
    }
    if (chosen == nullptr) {
      return;
    }
    chosen->m_holds = best.m_span;
  }
}

std::vector<LayoutOrder>
LayerLayout::Plan(const LayeredModel& aModel,
                  std::vector<LayoutHost> aHosts,
                  bool aCanMoveBoundaries) const
{
  std::vector<LayoutOrder> orders;
  if (aModel.m_layers == 0) {
    return orders;
  }
  auto stepTimeFactorOf = [&](const LayoutHost& aHost) {
    const AcceleratorKind* kind = aModel.FindKind(aHost.m_kind);
    return kind == nullptr ? std::numeric_limits<double>::max()
                           : kind->m_stepTimeFactor;
  };
  std::sort(aHosts.begin(),
            aHosts.end(),
            [&](const LayoutHost& aLeft, const LayoutHost& aRight) {
              return std::make_tuple(
                       stepTimeFactorOf(aLeft), aLeft.m_kind, aLeft.m_id) <
                     std::make_tuple(
                       stepTimeFactorOf(aRight), aRight.m_kind, aRight.m_id);
            });
  for (const auto& group : GroupByZone(aModel, aHosts)) {
    PlanGroup(aModel, group, aCanMoveBoundaries, orders);
  }
  return orders;
}

} // namespace parsleycove
