// The latest configuration changes as encoded frames, for gateways that
// reconnect.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Wire/Frame.h"

namespace parsleycove {

// Stores consecutive deltas up to a total size in bytes and drops the oldest.
//
// Invariant: contains every delta with an index above Floor().
class DeltaRing
{
public:
  explicit DeltaRing(std::size_t aMaxBytes);

  // Drops all deltas; the next ones follow an image at aIndex.
  void Reset(std::uint64_t aIndex);
  void Add(std::uint64_t aIndex, Frame::Pointer aFrame);
  std::uint64_t Floor() const { return m_floor; }
  // Returns the deltas after aIndex, or std::nullopt if any of them has been
  // dropped.
  std::optional<std::vector<Frame::Pointer>> After(std::uint64_t aIndex) const;

private:
  struct Delta
  {
    std::uint64_t m_index = 0;
    Frame::Pointer m_frame;
  };

  const std::size_t m_maxBytes;
  std::size_t m_bytes = 0;
  std::uint64_t m_floor = 0;
  std::deque<Delta> m_deltas; // by ascending index
};

} // namespace parsleycove
