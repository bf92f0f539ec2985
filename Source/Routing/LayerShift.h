// Moves the borders between the engines of a chain so that it holds all layers.
//
// Pattern: an engine is lost for good, and what is left of its zone just has
// the memory for the model. Laying the zone out anew makes every engine load
// all of its layers; engines that keep their order load a few each.
#pragma once

#include <cstdint>
#include <vector>

namespace parsleycove {

// Layers [m_first, m_end) of a model.
struct LayerSpan
{
  std::uint32_t m_first = 0;
  std::uint32_t m_end = 0;

  std::uint32_t Length() const { return m_end - m_first; }
  bool IsEmpty() const { return m_end <= m_first; }
  bool operator==(const LayerSpan&) const = default;
};

struct ShiftHost
{
  // Empty: it takes no part, unless it is free.
  LayerSpan m_holds;
  // Most layers that it may hold.
  std::uint32_t m_maxLayers = 0;
  // Holds nothing and takes any part; what it loads costs nothing.
  bool m_isFree = false;
};

struct LayerShift
{
  // In the order of the hosts; empty: the hosts cannot hold all layers.
  std::vector<LayerSpan> m_spans;
  // Sum of the squares of the layers that each engine loads: engines load at
  // the same time, so the longest load counts most.
  std::uint64_t m_cost = 0;
};

LayerShift
ShiftLayers(std::uint32_t aLayers, const std::vector<ShiftHost>& aHosts);

// The part that a free host takes so that all others can keep to their most
// without loading anything; empty: there is none.
LayerSpan
FindOffloadPart(std::uint32_t aLayers,
                const std::vector<ShiftHost>& aHosts,
                std::uint32_t aMaxLayers);

} // namespace parsleycove
