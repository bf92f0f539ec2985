// The latest changes of the configuration, encoded, for feeds that come back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Wire/Frame.h"

namespace parsleycove {

// A bounded run of deltas without gaps.
//
// Invariant: holds every delta with an index above Floor().
class DeltaRing
{
public:
  explicit DeltaRing(std::size_t aMaxBytes);

  // Starts anew behind an image of this index.
  void Reset(std::uint64_t aIndex);
  void Add(std::uint64_t aIndex, Frame::Pointer aFrame);
  std::uint64_t Floor() const { return m_floor; }
  // Deltas after aIndex; nothing when some of them are gone.
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
