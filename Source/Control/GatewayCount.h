// Counts the gateways that serve callers, from what the replicas report.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "Base/Clock.h"

namespace parsleycove {

// A replica's knowledge of the number of gateways, kept over its terms as
// leader and as follower. Gateways divide common budgets by this number, so a
// number that leaves some of them out lets all together exceed the budget.
//
// Fault pattern: a leader is new, or replicas have just started, and most
// gateways have not been reported yet.
//
// Invariants: an incomplete number is never the first one; the number grows
// with a report at once, and falls only to the highest sum of reports of a
// whole lease in which the leader had a quorum. Within a lease of a term every
// gateway that may serve callers is reported.
class GatewayCount
{
public:
  // aLease: the gateways' configuration lease. aHold: how long a number counts
  // that nobody confirms.
  GatewayCount(Duration aLease, Duration aHold);

  // Called when this replica becomes leader.
  void StartTerm(TimePoint aNow);
  // Records how many gateways a replica feeds, the leader itself included.
  // aHasQuorum: whether this replica is certain to be the leader still.
  void RecordReport(TimePoint aNow,
                    std::uint64_t aReplica,
                    std::uint32_t aGateways,
                    bool aHasQuorum);
  // Records the leader's number at a follower; 0: the leader knows none.
  void RecordLeaderCount(TimePoint aNow, std::uint32_t aGateways);

  // Returns the number of gateways of the whole fleet, or 0 if unknown.
  std::uint32_t Get(TimePoint aNow) const;

private:
  struct Report
  {
    std::uint32_t m_gateways = 0;
    TimePoint m_at{};
  };

  std::uint32_t SumReports(TimePoint aNow) const;
  void Set(TimePoint aNow, std::uint32_t aGateways);

  Duration m_lease;
  Duration m_hold;
  std::unordered_map<std::uint64_t, Report> m_reports; // of this term
  TimePoint m_periodStart{};
  std::uint32_t m_periodHighest = 0; // highest sum since m_periodStart
  std::uint32_t m_count = 0;         // 0: never known
  TimePoint m_confirmedAt{};         // of m_count
};

} // namespace parsleycove
