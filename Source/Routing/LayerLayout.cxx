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
constexpr int kRoomSteps = 16;
// A shift that leaves more room for requests may cost so many times what the
// cheapest one does.
constexpr double kDearestShift = 2;

// Layers that an engine holds beside room for that many tokens.
std::uint32_t
CountLayers(const LayeredModel& aModel,
            const LayoutHost& aHost,
            double aRoomTokens)
{
  const AcceleratorKind* kind = aModel.FindKind(aHost.m_kind);
  if (kind == nullptr || aModel.m_layerMb <= 0 || aModel.m_layers == 0) {
    return 0;
  }
  const double requestMb =
    aModel.m_tokenBytes / aModel.m_layers * aRoomTokens / kBytesPerMb;
  const double count =
    std::floor(kind->m_memoryMb / (aModel.m_layerMb + requestMb));
  return static_cast<std::uint32_t>(
    std::clamp(count, 0.0, static_cast<double>(aModel.m_layers)));
}

std::uint64_t
SumLayers(const LayeredModel& aModel,
          const std::vector<LayoutHost>& aHosts,
          double aRoomTokens)
{
  std::uint64_t sum = 0;
  for (const LayoutHost& host : aHosts) {
    sum += CountLayers(aModel, host, aRoomTokens);
  }
  return sum;
}

std::vector<ShiftHost>
MakeShiftHosts(const LayeredModel& aModel,
               const std::vector<LayoutHost>& aHosts,
               double aRoomTokens)
{
  std::vector<ShiftHost> hosts;
  for (const LayoutHost& host : aHosts) {
    hosts.push_back({ host.m_holds, CountLayers(aModel, host, aRoomTokens) });
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
HoldsAll(const LayeredModel& aModel, const std::vector<LayoutHost>& aHosts)
{
  return CountCoverage(aModel, aHosts).LeastOf({ 0, aModel.m_layers }) != 0;
}

// What an engine can do about layers that nobody holds.
struct Offer
{
  LayerSpan m_span;
  // It gives up what it holds.
  bool m_isMove = false;

  // Growing goes before moving, which breaks off what passes through; the
  // later of two movers is of a slower kind.
  bool IsBetter(const Offer& aOther, const LayerSpan& aGap) const
  {
    if (aOther.m_span.IsEmpty()) {
      return true;
    }
    if (m_isMove != aOther.m_isMove) {
      return aOther.m_isMove;
    }
    const std::uint32_t own = Overlap(m_span, aGap);
    const std::uint32_t other = Overlap(aOther.m_span, aGap);
    return own > other || (own == other && m_isMove);
  }
};

Offer
MakeOffer(const LayoutHost& aHost,
          std::uint32_t aMost,
          const LayerSpan& aGap,
          const LayerCoverage& aCoverage)
{
  const LayerSpan& holds = aHost.m_holds;
  if (holds.IsEmpty() || aMost == 0) {
    return {};
  }
  const std::uint32_t more =
    aMost > holds.Length() ? aMost - holds.Length() : 0;
  if (holds.m_end == aGap.m_first && more != 0) {
    return { { holds.m_first, std::min(aGap.m_end, holds.m_end + more) },
             false };
  }
  if (holds.m_first == aGap.m_end && more != 0) {
    return { { holds.m_first - std::min(more, aGap.Length()), holds.m_end },
             false };
  }
  if (aCoverage.LeastOf(holds) > 1) {
    return { { aGap.m_first, std::min(aGap.m_end, aGap.m_first + aMost) },
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
    if (SumLayers(aModel, hosts, m_settings.m_leastTokens) >= aModel.m_layers) {
      groups.push_back(std::move(hosts));
      continue;
    }
    rest.insert(rest.end(), hosts.begin(), hosts.end());
    if (SumLayers(aModel, rest, m_settings.m_leastTokens) >= aModel.m_layers) {
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
LayerLayout::ChooseRoom(const LayeredModel& aModel,
                        const std::vector<LayoutHost>& aHosts) const
{
  for (int step = kRoomSteps; step > 0; --step) {
    const double room = m_settings.m_roomTokens * step / kRoomSteps;
    if (SumLayers(aModel, aHosts, room) >= aModel.m_layers) {
      return room;
    }
  }
  return 0;
}

void
LayerLayout::FillEmpty(const LayeredModel& aModel,
                       std::vector<LayoutHost>& aHosts) const
{
  const double room = ChooseRoom(aModel, aHosts);
  LayerCoverage coverage = CountCoverage(aModel, aHosts);
  for (LayoutHost& host : aHosts) {
    const std::uint32_t most = CountLayers(aModel, host, room);
    if (!host.m_holds.IsEmpty() || most == 0) {
      continue;
    }
    LayerSpan span = coverage.FindLeast();
    if (coverage.LeastOf(span) != 0) {
      const LayerSpan relief = FindRelief(aModel, aHosts, most, room);
      span = relief.IsEmpty() ? span : relief;
    }
    span.m_end = std::min(span.m_end, span.m_first + most);
    coverage.Add(span);
    host.m_holds = span;
  }
}

LayerSpan
LayerLayout::FindRelief(const LayeredModel& aModel,
                        const std::vector<LayoutHost>& aHosts,
                        std::uint32_t aMost,
                        double aRoomTokens) const
{
  const auto hosts = MakeShiftHosts(aModel, aHosts, aRoomTokens);
  const bool isTight =
    std::any_of(hosts.begin(), hosts.end(), [](const ShiftHost& aHost) {
      return aHost.m_holds.Length() > aHost.m_most;
    });
  if (!isTight || ShiftLayers(aModel.m_layers, hosts).m_cost == 0) {
    return {};
  }
  LayerSpan span = FindReliefPart(aModel.m_layers, hosts, aMost);
  if (!span.IsEmpty()) {
    // What is left of its memory holds the layers that follow.
    span.m_end = std::min(span.m_first + aMost, aModel.m_layers);
  }
  return span;
}

void
LayerLayout::TrimOverfull(const LayeredModel& aModel,
                          std::vector<LayoutHost>& aHosts) const
{
  const bool isLoading =
    std::any_of(aHosts.begin(), aHosts.end(), [](const LayoutHost& aHost) {
      return !aHost.m_isReported;
    });
  if (isLoading) {
    return;
  }
  const double room = ChooseRoom(aModel, aHosts);
  const LayerShift whole =
    ShiftLayers(aModel.m_layers, MakeShiftHosts(aModel, aHosts, room));
  LayerCoverage coverage = CountCoverage(aModel, aHosts);
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    LayoutHost& host = aHosts[i];
    const std::uint32_t fits = CountLayers(aModel, host, room);
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
                       bool aMayReshape,
                       std::vector<LayoutOrder>& aOrders) const
{
  std::vector<LayoutHost> planned = aHosts;
  TrimOverfull(aModel, planned);
  FillEmpty(aModel, planned);
  const std::vector<LayoutHost> filled = planned;
  const bool isLoading =
    std::any_of(aHosts.begin(), aHosts.end(), [](const LayoutHost& aHost) {
      return aHost.m_isLoading;
    });
  if (!isLoading) {
    CloseGap(aModel, planned);
  }
  const bool canHoldAll =
    !isLoading && aMayReshape &&
    SumLayers(aModel, aHosts, m_settings.m_leastTokens) >= aModel.m_layers;
  if (!HoldsAll(aModel, planned)) {
    // A gap that is not closed is as wide as before.
    planned = filled;
  }
  if (!HoldsAll(aModel, planned) && canHoldAll &&
      !ShiftBorders(aModel, planned)) {
    // Nothing passes through a chain with a gap, so all may move.
    for (LayoutHost& host : planned) {
      host.m_holds = {};
    }
    FillEmpty(aModel, planned);
  }
  for (std::size_t i = 0; i < planned.size(); ++i) {
    if (planned[i].m_holds != aHosts[i].m_holds) {
      aOrders.push_back(
        { planned[i].m_id, planned[i].m_incarnation, planned[i].m_holds });
    }
  }
}

bool
LayerLayout::ShiftBorders(const LayeredModel& aModel,
                          std::vector<LayoutHost>& aHosts) const
{
  const auto shiftAt = [&](double aRoomTokens) {
    return ShiftLayers(aModel.m_layers,
                       MakeShiftHosts(aModel, aHosts, aRoomTokens));
  };
  LayerShift best = shiftAt(m_settings.m_leastTokens);
  if (best.m_spans.empty()) {
    return false;
  }
  const double most = static_cast<double>(best.m_cost) * kDearestShift;
  for (int step = kRoomSteps; step > 0; --step) {
    const double room = m_settings.m_roomTokens * step / kRoomSteps;
    if (room <= m_settings.m_leastTokens) {
      break;
    }
    LayerShift wider = shiftAt(room);
    if (!wider.m_spans.empty() && static_cast<double>(wider.m_cost) <= most) {
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
LayerLayout::CloseGap(const LayeredModel& aModel,
                      std::vector<LayoutHost>& aHosts) const
{
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    const LayerCoverage coverage = CountCoverage(aModel, aHosts);
    const LayerSpan gap = coverage.FindLeast();
    if (coverage.LeastOf(gap) != 0) {
      return;
    }
    LayoutHost* helper = nullptr;
    Offer best;
    for (LayoutHost& host : aHosts) {
      const std::uint32_t most =
        CountLayers(aModel, host, m_settings.m_leastTokens);
      const Offer offer = MakeOffer(host, most, gap, coverage);
      if (!offer.m_span.IsEmpty() && offer.IsBetter(best, gap)) {
        helper = &host;
        best = offer;
      }
    }
    if (helper == nullptr) {
      return;
    }
    helper->m_holds = best.m_span;
  }
}

std::vector<LayoutOrder>
LayerLayout::Plan(const LayeredModel& aModel,
                  std::vector<LayoutHost> aHosts,
                  bool aMayReshape) const
{
  std::vector<LayoutOrder> orders;
  if (aModel.m_layers == 0) {
    return orders;
  }
  auto paceOf = [&](const LayoutHost& aHost) {
    const AcceleratorKind* kind = aModel.FindKind(aHost.m_kind);
    return kind == nullptr ? std::numeric_limits<double>::max()
                           : kind->m_stepPace;
  };
  std::sort(aHosts.begin(),
            aHosts.end(),
            [&](const LayoutHost& aLeft, const LayoutHost& aRight) {
              return std::make_tuple(paceOf(aLeft), aLeft.m_kind, aLeft.m_id) <
                     std::make_tuple(
                       paceOf(aRight), aRight.m_kind, aRight.m_id);
            });
  for (const auto& group : GroupByZone(aModel, aHosts)) {
    PlanGroup(aModel, group, aMayReshape, orders);
  }
  return orders;
}

} // namespace parsleycove
