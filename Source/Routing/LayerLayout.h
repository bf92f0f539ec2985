// Decides which layers of a model each engine holds.
//
// Patterns: the start of a fleet, engines that are added or come back empty,
// and engines that are lost for good. Memory that holds no layers holds
// requests, so an engine is never filled with layers alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Routing/LayerShift.h"
#include "Routing/RoutingConfig.h"

namespace parsleycove {

// An engine that may be given layers.
struct LayoutHost
{
  std::string m_id;
  std::uint64_t m_incarnation = 0;
  std::string m_kind;
  std::string m_zone;
  // What it holds or has been ordered to hold; empty: nothing.
  LayerSpan m_holds;
  // It says that it holds them.
  bool m_isReported = true;
  // It was ordered to hold them a short time ago.
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
  // Room for requests that an engine keeps beside its layers where the zone
  // has the memory, in tokens: 120 requests of 900 tokens. A zone's chain has
  // about 65 in progress at the daily rate, and half as many more when another
  // zone's chain is broken. What is left holds layers a second time.
  double m_kvCapacityTokens = 110'000;
  // The least room; zones that could not keep it are put together.
  double m_minKvCapacityTokens = 40'000;
};

// Every zone holds the whole model by itself where its memory allows: what
// passes between zones is a thousand times the size of a request's text, and
// its links are shared by all chains.
//
// Layers that nobody holds any more go to an engine whose own are held twice,
// or to the neighbours of the gap; where that is not enough, the borders
// between the zone's engines move, and only if that fails its layers are laid
// out anew.
//
// Closing a gap leaves engines with little room for requests, and the tightest
// engine of a chain decides how many streams the chain takes. So an engine that
// comes back takes over a part of what they hold, and they give it up.
//
// While engines of a zone load, no other one of it moves: the next plan would
// be made for a zone that does not exist yet, and orders that cross each other
// empty the zone for many seconds.
//
// An engine without layers takes the first run of layers that the fewest
// engines of its zone hold; so the first engines complete a chain, and later
// ones another. Fast kinds come first. Engines that hold something keep it
// otherwise.
// There is no order for a kind that the model does not know or that cannot
// hold a layer.
class LayerLayout
{
public:
  explicit LayerLayout(LayoutSettings aSettings = {});

  // aCanMoveBoundaries: borders between engines may move. Not so soon after a
  // loss: most engines come back within seconds.
  std::vector<LayoutOrder> Plan(const LayeredModel& aModel,
                                std::vector<LayoutHost> aHosts,
                                bool aCanMoveBoundaries = true) const;

private:
  // Zones whose engines make chains together.
  using Groups = std::vector<std::vector<LayoutHost>>;

  Groups GroupByZone(const LayeredModel& aModel,
                     const std::vector<LayoutHost>& aHosts) const;
  void PlanGroup(const LayeredModel& aModel,
                 const std::vector<LayoutHost>& aHosts,
                 bool aCanMoveBoundaries,
                 std::vector<LayoutOrder>& aOrders) const;
  void AssignEmptyEngines(const LayeredModel& aModel,
                          std::vector<LayoutHost>& aHosts) const;
  // Layers of an engine that has less room for requests than the others; an
  // empty engine takes them over. Empty: there is none.
  LayerSpan FindOffloadSpan(const LayeredModel& aModel,
                            const std::vector<LayoutHost>& aHosts,
                            std::uint32_t aMaxLayers,
                            double aKvCapacityTokens) const;
  // Engines with too little room give up what others hold too.
  void TrimOverloadedEngines(const LayeredModel& aModel,
                             std::vector<LayoutHost>& aHosts) const;
  void CoverUncoveredLayers(const LayeredModel& aModel,
                            std::vector<LayoutHost>& aHosts) const;
  // Borders between engines move; false: the engines cannot hold the model.
  bool ShiftBoundaries(const LayeredModel& aModel,
                       std::vector<LayoutHost>& aHosts) const;
  // Most room at which the engines hold the whole model.
  double ChooseKvCapacity(const LayeredModel& aModel,
                          const std::vector<LayoutHost>& aHosts) const;

  const LayoutSettings m_settings;
};

} // namespace parsleycove
