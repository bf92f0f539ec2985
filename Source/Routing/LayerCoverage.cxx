// How many engines hold each layer of a model.
#include "Routing/LayerCoverage.h"

#include <algorithm>
#include <limits>

namespace parsleycove {

void
LayerCoverage::Change(const LayerSpan& aSpan, int aBy)
{
  const auto end = static_cast<std::uint32_t>(
    std::min<std::size_t>(aSpan.m_end, m_counts.size()));
  for (std::uint32_t i = aSpan.m_first; i < end; ++i) {
    m_counts[i] += aBy;
  }
}

LayerSpan
LayerCoverage::FindLeastCovered() const
{
  const auto least = std::min_element(m_counts.begin(), m_counts.end());
  const auto end = std::find_if(
    least, m_counts.end(), [&](int aCount) { return aCount != *least; });
  return { static_cast<std::uint32_t>(least - m_counts.begin()),
           static_cast<std::uint32_t>(end - m_counts.begin()) };
}

int
LayerCoverage::MinCount(const LayerSpan& aSpan) const
{
  int least = std::numeric_limits<int>::max();
  const auto end = static_cast<std::uint32_t>(
    std::min<std::size_t>(aSpan.m_end, m_counts.size()));
  for (std::uint32_t i = aSpan.m_first; i < end; ++i) {
    least = std::min(least, m_counts[i]);
  }
  return least;
}

LayerSpan
LayerCoverage::Trim(LayerSpan aSpan, std::uint32_t aLength) const
{
  while (aSpan.Length() > aLength && CountOf(aSpan.m_first) > 1) {
    ++aSpan.m_first;
  }
  while (aSpan.Length() > aLength && CountOf(aSpan.m_end - 1) > 1) {
    --aSpan.m_end;
  }
  return aSpan;
}

} // namespace parsleycove
