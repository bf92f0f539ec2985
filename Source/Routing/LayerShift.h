// Moves the boundaries between the engines of a chain so that the chain holds
// all layers.
//
// Fault pattern: an engine is lost for good, and the rest of its zone has just
// enough memory for the model. A layout from scratch makes every engine load
// all of its layers; engines that keep their order load only a few layers each.
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
  // The layers that the host holds. A host without layers gets none unless
  // m_isFree is set.
  LayerSpan m_holds;
  // Maximum number of layers that the host may hold.
  std::uint32_t m_maxLayers = 0;
  // True for a host that holds nothing and can take any part; the layers that
  // it loads cost nothing.
  bool m_isFree = false;
};

struct LayerShift
{
  // Layers of each host, in the order of the hosts; empty if the hosts cannot
  // hold all layers.
  std::vector<LayerSpan> m_spans;
  // Sum of the squares of the number of layers that each engine loads: engines
  // load at the same time, so the longest load counts most.
  std::uint64_t m_cost = 0;
};

LayerShift
ShiftLayers(std::uint32_t aLayers, const std::vector<ShiftHost>& aHosts);

// Returns the part that a free host can take so that all other hosts keep to
// their maximum without loading a layer; empty if there is none.
LayerSpan
FindOffloadPart(std::uint32_t aLayers,
                const std::vector<ShiftHost>& aHosts,
                std::uint32_t aMaxLayers);

} // namespace parsleycove
