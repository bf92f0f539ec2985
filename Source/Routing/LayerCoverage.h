// How many engines hold each layer of a model.
#pragma once

#include <cstdint>
#include <vector>

#include "Routing/LayerShift.h"

namespace parsleycove {

class LayerCoverage
{
public:
  explicit LayerCoverage(std::uint32_t aLayers)
    : m_counts(aLayers, 0)
  {
  }

  void Add(const LayerSpan& aSpan) { Change(aSpan, 1); }
  void Remove(const LayerSpan& aSpan) { Change(aSpan, -1); }

  int CountOf(std::uint32_t aLayer) const { return m_counts[aLayer]; }
  // The first run of layers that the fewest engines hold.
  LayerSpan FindLeastCovered() const;
  // Of the layer that the fewest engines hold.
  int MinCount(const LayerSpan& aSpan) const;
  // The span without layers at its ends that others hold too, shortened to
  // aLength layers where it can be.
  LayerSpan Trim(LayerSpan aSpan, std::uint32_t aLength) const;

private:
  void Change(const LayerSpan& aSpan, int aBy);

  std::vector<int> m_counts;
};

} // namespace parsleycove
