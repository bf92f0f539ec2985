// Measures how many tokens arrive at each level of urgency.
#include "Admission/DemandMeter.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr Duration kSliceTime = std::chrono::milliseconds(100);
// One or two requests within a slice are no burst: a VM of a large fleet gets
// few requests a second.
constexpr std::uint32_t kMinBurstRequests = 3;

} // namespace

void
DemandMeter::Record(TimePoint aNow, std::size_t aLevel, std::uint32_t aTokens)
{
  Advance(aNow);
  if (m_levels.size() <= aLevel) {
    m_levels.resize(aLevel + 1);
  }
  Slice& slice = m_levels[aLevel][static_cast<std::size_t>(m_slice) % kSlices];
  slice.m_tokens += aTokens;
  ++slice.m_requests;
}

double
DemandMeter::Tokens(TimePoint aNow, std::size_t aLevel)
{
  Advance(aNow);
  return aLevel < m_levels.size() ? Sum(m_levels[aLevel]) : 0;
}

double
DemandMeter::AllTokens(TimePoint aNow)
{
  Advance(aNow);
  double sum = 0;
  for (const Slices& slices : m_levels) {
    sum += Sum(slices);
  }
  return sum;
}

double
DemandMeter::UrgentPeak(TimePoint aNow, std::size_t aLevel)
{
  Advance(aNow);
  double sum = 0;
  double busiest = 0;
  const std::size_t levels = std::min(aLevel, m_levels.size());
  for (std::size_t i = 0; i < kSlices; ++i) {
    Slice slice;
    for (std::size_t level = 0; level < levels; ++level) {
      slice.m_tokens += m_levels[level][i].m_tokens;
      slice.m_requests += m_levels[level][i].m_requests;
    }
    sum += slice.m_tokens;
    if (slice.m_requests >= kMinBurstRequests) {
      busiest = std::max(busiest, slice.m_tokens);
    }
  }
  return std::max(2 * sum / kSlices, busiest);
}

void
DemandMeter::Advance(TimePoint aNow)
{
  const std::int64_t now = aNow.time_since_epoch() / kSliceTime;
  const std::int64_t passed =
    std::min<std::int64_t>(now - m_slice, std::int64_t{ kSlices });
  for (std::int64_t i = 0; i < passed; ++i) {
    for (Slices& slices : m_levels) {
      slices[static_cast<std::size_t>(now - i) % kSlices] = {};
    }
  }
  m_slice = std::max(m_slice, now);
}

double
DemandMeter::Sum(const Slices& aSlices)
{
  double sum = 0;
  for (const Slice& slice : aSlices) {
    sum += slice.m_tokens;
  }
  return sum;
}

} // namespace parsleycove
