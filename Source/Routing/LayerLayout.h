// Decides which layers of a model each engine holds.
//
// Load and fault patterns: the start of a fleet, engines that are added or come
// back empty, and engines that are lost for good. Memory without layers is the
// KV cache for requests, so an engine is never filled with layers alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Routing/LayerShift.h"
#include "Routing/RoutingConfig.h"

namespace parsleycove {

// An engine that can be ordered to hold layers.
struct LayoutHost
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  std::string m_kind;
  std::string m_zone;
  // The layers that the engine holds or has been ordered to hold; empty if
  // none.
  LayerSpan m_holds;
  // True if the engine reports that it holds these layers.
  bool m_isReported = true;
  // True if the engine was ordered to hold these layers a short time ago.
  bool m_isLoading = false;
};

struct LayoutOrder
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  LayerSpan m_span;
};

struct LayoutSettings
{
  // KV cache capacity, in tokens, that an engine keeps in addition to its
  // layers if the zone has enough memory: 120 requests of 900 tokens. A zone's
  // chain has about 65 requests in progress at the daily rate, and half as many
  // more if another zone's chain is broken. Memory above this capacity holds a
  // second copy of layers.
  double m_kvCapacityTokens = 110'000;
  // Minimum KV cache capacity in tokens; zones that cannot provide it by
  // themselves are grouped with others.
  double m_minKvCapacityTokens = 40'000;
};

// Each zone holds the whole model by itself if its memory allows: the data that
// passes between zones is a thousand times the size of a request's text, and
// the links between zones are shared by all chains.
//
// Layers that no engine holds any more go to an engine whose own layers are
// held twice, or to the neighbours of the uncovered range. If that is not
// enough, the boundaries between the zone's engines move. Only if that fails,
// the zone's layers are laid out from scratch.
//
// Covering uncovered layers leaves engines with little KV cache capacity, and
// the engine with the least capacity limits how many streams its chain accepts.
// So an engine that comes back takes over a part of the layers of those
// engines, and they give that part up.
//
// While engines of a zone load layers, no other engine of the zone moves: the
// next plan would assume a layout that does not exist yet, and conflicting
// orders leave the zone without a complete chain for many seconds.
//
// An engine without layers takes the first range of layers that the fewest
// engines of its zone hold, so the first engines complete one chain and later
// engines the next one. Engines of fast accelerator kinds are assigned first.
// In all other cases engines keep their layers. No orders are given for a kind
// that the model does not list or that cannot hold a single layer.
class LayerLayout
{
public:
  explicit LayerLayout(LayoutSettings aSettings = {});

  // Returns the orders that bring the engines from their present layers to the
  // planned ones. aCanMoveBoundaries: boundaries between engines may move. Pass
  // false shortly after a loss, because most engines come back within seconds.
  std::vector<LayoutOrder> Plan(const LayeredModel& aModel,
                                std::vector<LayoutHost> aHosts,
                                bool aCanMoveBoundaries = true) const;

private:
  // Each group holds the engines of the zones that form chains together.
  using Groups = std::vector<std::vector<LayoutHost>>;

  Groups GroupByZone(const LayeredModel& aModel,
                     const std::vector<LayoutHost>& aHosts) const;
  void PlanGroup(const LayeredModel& aModel,
                 const std::vector<LayoutHost>& aHosts,
                 bool aCanMoveBoundaries,
                 std::vector<LayoutOrder>& aOrders) const;
  void AssignEmptyEngines(const LayeredModel& aModel,
                          std::vector<LayoutHost>& aHosts) const;
  // Returns layers that an empty engine can take over from an engine with less
  // KV cache capacity than aKvCapacityTokens; empty if there are none.
  LayerSpan FindOffloadSpan(const LayeredModel& aModel,
                            const std::vector<LayoutHost>& aHosts,
                            std::uint32_t aMaxLayers,
                            double aKvCapacityTokens) const;
  // Makes engines with too little KV cache capacity give up layers that other
  // engines hold too.
  void TrimOverloadedEngines(const LayeredModel& aModel,
                             std::vector<LayoutHost>& aHosts) const;
  void CoverUncoveredLayers(const LayeredModel& aModel,
                            std::vector<LayoutHost>& aHosts) const;
  // Moves boundaries between engines until all layers are held. Returns false
  // if the engines cannot hold the model.
  bool ShiftBoundaries(const LayeredModel& aModel,
                       std::vector<LayoutHost>& aHosts) const;
  // Returns the largest KV cache capacity, in tokens, at which the engines can
  // hold the whole model.
  double ChooseKvCapacity(const LayeredModel& aModel,
                          const std::vector<LayoutHost>& aHosts) const;

  const LayoutSettings m_settings;
};

} // namespace parsleycove
