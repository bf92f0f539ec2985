// The leader's knowledge of which log index every live gateway has reached.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Base/Clock.h"

namespace parsleycove {

// A replica grants configuration leases only for a lease's length after it
// sent a ReadIndex that the leader answered, and each ReadIndex reports the
// least index among the gateways whose leases run. So an index is in force
// once each replica has reported it or cannot have a lease running.
//
// A lease granted at the last allowed moment ends one lease after that, so a
// replica counts as silent two leases after the last answer given to it.
class InForceTracker
{
public:
  explicit InForceTracker(Duration aLease);

  // Starts a term as leader: an earlier leader may have answered any of these
  // replicas until now.
  void Start(TimePoint aNow, const std::vector<std::uint64_t>& aReplicas);
  // A replica that joins has been answered by no one.
  void AddReplica(std::uint64_t aReplica);
  // A ReadIndex of this replica is about to be answered.
  void Answer(TimePoint aNow,
              std::uint64_t aReplica,
              std::uint64_t aReportedIndex);
  // The highest index known to be in force, at most aCommitIndex; it never
  // goes back during a term.
  std::uint64_t InForceIndex(TimePoint aNow, std::uint64_t aCommitIndex);

private:
  struct Report
  {
    std::uint64_t m_index = 0;
    bool m_answered = false;
    TimePoint m_answeredAt{};
  };

  Duration m_lease;
  std::map<std::uint64_t, Report> m_reports;
  std::uint64_t m_inForce = 0;
};

} // namespace parsleycove
