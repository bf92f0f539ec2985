// Measures how many tokens arrive at each level of urgency.
//
// Load pattern: urgent work arrives in a burst within a tenth of a second,
// while less urgent work holds the room.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Base/Clock.h"

namespace parsleycove {

// Not thread-safe; used by one thread.
//
// Invariant: m_levels holds the slices of 100 ms that end with m_slice.
class DemandMeter
{
public:
  void Record(TimePoint aNow, std::size_t aLevel, std::uint32_t aTokens);
  // Returns the tokens that arrived at the level within the last second.
  double Tokens(TimePoint aNow, std::size_t aLevel);
  // Returns the tokens of all levels within the last second.
  double AllTokens(TimePoint aNow);
  // Returns the tokens that the levels more urgent than aLevel bring in a tenth
  // of a second: twice their mean, or the busiest tenth of the last second if
  // it held several requests.
  double UrgentPeak(TimePoint aNow, std::size_t aLevel);

private:
  static constexpr std::size_t kSlices = 10;

  struct Slice
  {
    double m_tokens = 0;
    std::uint32_t m_requests = 0;
  };
  using Slices = std::array<Slice, kSlices>;

  void Advance(TimePoint aNow);
  static double Sum(const Slices& aSlices);

  std::vector<Slices> m_levels;
  // Number of the present slice since the clock's epoch.
  std::int64_t m_slice = 0;
};

} // namespace parsleycove
