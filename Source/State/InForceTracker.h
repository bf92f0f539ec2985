// The leader's knowledge of which log index every live gateway has reached.
#pragma once

#include <cstdint>
#include <map>

#include "Base/Clock.h"

namespace parsleycove {

// A replica's configuration leases end one lease after it sent a ReadIndex
// that was answered, and each ReadIndex reports the least index that the
// gateways with a lease have applied. So an index is in force once each
// replica has reported it or was last answered longer than a lease ago.
//
// An earlier leader may have answered any replica, also a removed one, until
// this leader's term began: nothing is in force until a lease after that.
class InForceTracker
{
public:
  explicit InForceTracker(Duration aLease);

  // Starts a term as leader.
  void Start(TimePoint aNow);
  // A ReadIndex of this replica, which may be the leader itself, is answered.
  void Answer(TimePoint aNow,
              std::uint64_t aReplica,
              std::uint64_t aReportedIndex);
  // The highest index known to be in force, at most aCommitIndex; it never
  // goes back during a term. 0 while nothing is known.
  std::uint64_t InForceIndex(TimePoint aNow, std::uint64_t aCommitIndex);

private:
  struct Report
  {
    std::uint64_t m_index = 0;
    TimePoint m_answeredAt{};
  };

  Duration m_lease; // with a margin for clocks that run at other rates
  TimePoint m_startedAt{};
  std::map<std::uint64_t, Report> m_reports; // replicas answered in this term
  std::uint64_t m_inForce = 0;
};

} // namespace parsleycove
