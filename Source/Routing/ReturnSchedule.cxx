// Chooses when the callers that were refused may return.
#include "Routing/ReturnSchedule.h"

#include <algorithm>
#include <numeric>

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kSlotLength{ 50 };
constexpr std::chrono::milliseconds kSliceLength{ 250 };

std::int64_t
IndexOf(TimePoint aNow, Duration aLength)
{
  return aNow.time_since_epoch() / aLength;
}

// Returns a time in [aFrom, aTo).
Duration
Between(Duration aFrom, Duration aTo, double aDraw)
{
  return aFrom + std::chrono::duration_cast<Duration>((aTo - aFrom) * aDraw);
}

} // namespace

void
ReturnSchedule::Advance(TimePoint aNow)
{
  const std::int64_t slice = IndexOf(aNow, kSliceLength);
  const std::int64_t slices = std::clamp<std::int64_t>(
    slice - m_slice, 0, static_cast<std::int64_t>(kRateSlices));
  for (std::int64_t i = 1; i <= slices; ++i) {
    const auto place = static_cast<std::size_t>(m_slice + i) % kRateSlices;
    m_freed[place] = 0;
    m_arrived[place] = 0;
  }
  m_slice = std::max(m_slice, slice);
  const std::int64_t slot = IndexOf(aNow, kSlotLength);
  const std::int64_t slots = std::clamp<std::int64_t>(
    slot - m_firstSlot, 0, static_cast<std::int64_t>(kSlots));
  for (std::int64_t i = 0; i < slots; ++i) {
    m_told[static_cast<std::size_t>(m_firstSlot + i) % kSlots] = 0;
  }
  m_firstSlot = std::max(m_firstSlot, slot);
}

double
ReturnSchedule::RateOf(const SliceCounts& aCounts)
{
  const auto sum = std::accumulate(aCounts.begin(), aCounts.end(), 0U);
  return sum /
         std::chrono::duration<double>(kSliceLength * kRateSlices).count();
}

std::uint32_t&
ReturnSchedule::Current(SliceCounts& aCounts) const
{
  return aCounts[static_cast<std::size_t>(m_slice) % kRateSlices];
}

void
ReturnSchedule::RecordArrival(TimePoint aNow)
{
  Advance(aNow);
  ++Current(m_arrived);
}

void
ReturnSchedule::RecordFreed(TimePoint aNow)
{
  Advance(aNow);
  ++Current(m_freed);
}

double
ReturnSchedule::SpareRate(TimePoint aNow)
{
  Advance(aNow);
  return std::max(0.0, RateOf(m_freed) - RateOf(m_arrived));
}

Duration
ReturnSchedule::Choose(TimePoint aNow, const ReturnRequest& aRequest)
{
  const Duration latest = std::max(aRequest.m_latest, aRequest.m_earliest);
  const double spare = SpareRate(aNow);
  if (RateOf(m_freed) <= 0) {
    return std::min(
      Between(aRequest.m_earliest, 2 * aRequest.m_earliest, aRequest.m_draw),
      latest);
  }
  const auto first =
    static_cast<std::size_t>(aRequest.m_earliest / kSlotLength);
  const double freePerSlot =
    spare * std::chrono::duration<double>(kSlotLength).count();
  double told = 0;
  for (std::size_t i = first; spare > 0 && i + 1 < kSlots; ++i) {
    const Duration begin = kSlotLength * static_cast<std::int64_t>(i);
    if (begin >= aRequest.m_latest) {
      break;
    }
    std::uint32_t& slot =
      m_told[(static_cast<std::size_t>(m_firstSlot) + i) % kSlots];
    told += slot;
    if (told < freePerSlot * static_cast<double>(i - first + 1)) {
      ++slot;
      const Duration from = std::max<Duration>(begin, aRequest.m_earliest);
      return Between(from, begin + kSlotLength, aRequest.m_draw);
    }
  }
  return Between(
    std::max(latest / 2, aRequest.m_earliest), latest, aRequest.m_draw);
}

} // namespace parsleycove
