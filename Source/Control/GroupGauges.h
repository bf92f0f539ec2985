// Figures of the replica group for the metrics.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

// As one replica's log has the members. Written by the replica's thread, read
// by any thread.
struct GroupGauges
{
  std::atomic<std::size_t> m_voters{ 0 };
  std::atomic<std::size_t> m_withoutVote{ 0 };
  // Since when the member has had no vote that has had none for the longest
  // time; TimePoint::max() if all members vote.
  std::atomic<TimePoint> m_oldestWithoutVoteSince{ TimePoint::max() };
  // The voters that this replica has heard from within 1.5 s, and itself.
  std::atomic<std::size_t> m_votersHeard{ 0 };
  // On the leader: voters that may be lost at once, beside those that are, with
  // a majority left. 0 on the other replicas.
  std::atomic<std::size_t> m_bearableLosses{ 0 };
  // Since when this replica has known no leader; TimePoint::max() if it knows
  // one.
  std::atomic<TimePoint> m_leaderlessSince{ TimePoint::max() };
  // The highest feature level that all members are known to read.
  std::atomic<std::uint32_t> m_featureLevel{ 0 };
  // This replica has met a command of a newer build and neither applies nor
  // votes any more.
  std::atomic<bool> m_isHalted{ false };
};

} // namespace parsleycove
