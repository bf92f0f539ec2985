// Small seeded random number generator for choices among near-equal candidates
// and for jitter.
#pragma once

#include <cstdint>

namespace parsleycove {

// Mixes 64 bits so that similar inputs give unrelated outputs.
constexpr std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30)) * 0xBF58476D1CE4E5B9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94D049BB133111EBULL;
  return aValue ^ (aValue >> 31);
}

// SplitMix64; the sequence depends on the seed only.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : m_state(aSeed)
  {
  }

  std::uint64_t Next()
  {
    m_state += 0x9E3779B97F4A7C15ULL;
    return MixBits(m_state);
  }
  // Returns a value in [0, aBound); aBound must not be 0.
  std::uint64_t Below(std::uint64_t aBound) { return Next() % aBound; }
  // Returns a value in [0, 1).
  double Fraction()
  {
    return static_cast<double>(Next() >> 11) / 9007199254740992.0;
  }

private:
  std::uint64_t m_state;
};

} // namespace parsleycove
