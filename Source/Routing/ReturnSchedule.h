// Chooses when the callers that were refused may return.
//
// Load pattern: a burst fills every endpoint of a service. Callers that are all
// told the same short time come back together, into the same full queues, and
// most of them return only once.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

struct ReturnRequest
{
  // No place is free before this time, for example because endpoints asked for
  // a pause.
  Duration m_earliest{};
  // Later the caller could no longer use the answer.
  Duration m_latest{};
  // Random number in [0, 1) that spreads callers within a slot.
  double m_draw = 0;
};

// One service's schedule on one gateway. Places are counted as they come free
// on this gateway, which therefore hands out its own share of the fleet's
// places without a message.
//
// Not thread-safe; used by one thread.
//
// Invariant: m_told counts the callers told to return in each slot from
// m_firstSlot on.
class ReturnSchedule
{
public:
  // Records that a request has arrived at this gateway.
  void RecordArrival(TimePoint aNow);
  // Records that a request of this gateway has left an endpoint.
  void RecordFreed(TimePoint aNow);

  // Returns the time after which the caller should return: the first slot by
  // which enough places come free for all callers told so far. While new
  // requests take all places, and for a caller whose latest time is before that
  // slot, it is in the second half of the time that the caller has: the burst
  // may be over by then. Before anything is measured, callers are spread over
  // the time from m_earliest to twice that.
  Duration Choose(TimePoint aNow, const ReturnRequest& aRequest);

  // Returns the places a second that come free and that new requests leave.
  double SpareRate(TimePoint aNow);

private:
  static constexpr std::size_t kSlots = 160;
  static constexpr std::size_t kRateSlices = 8;

  using SliceCounts = std::array<std::uint32_t, kRateSlices>;

  void Advance(TimePoint aNow);
  static double RateOf(const SliceCounts& aCounts);
  std::uint32_t& Current(SliceCounts& aCounts) const;

  std::array<std::uint32_t, kSlots> m_told{};
  std::int64_t m_firstSlot = 0;
  // Requests that arrived, and places that came free, in the latest slices of
  // time.
  SliceCounts m_arrived{};
  SliceCounts m_freed{};
  std::int64_t m_slice = 0;
};

} // namespace parsleycove
