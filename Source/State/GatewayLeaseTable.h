// A replica's record of the gateways that it feeds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "FeedGenerated.h"

namespace parsleycove {

// Who holds a configuration lease of this replica, and what it has applied.
//
// Every lease ends at the latest one lease after this replica sent its last
// answered ReadIndex, so that the leader knows from its own answers when the
// last of them is over. A gateway counts a lease from the sending of its Ping,
// which is earlier than its receipt here, so it never outlives our record.
//
// What was reported as reached stays reached: a gateway that has applied less
// than this replica reported, or less than was committed when the replica came
// back after a silence, gets no lease until it has caught up.
class GatewayLeaseTable
{
public:
  struct Gateway
  {
    std::string m_vm;
    std::string m_zone;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_appliedIndex = 0;
    TimePoint m_leaseEnd{};
    bool m_stopping = false;
    bool m_takesCallers = true;
  };

  // aGoneAfter: a gateway this long without a lease is taken for dead.
  GatewayLeaseTable(Duration aLease, Duration aGoneAfter);

  // The ReadIndex sent at aSentAt was answered with aIndex.
  void ConfirmRead(TimePoint aNow, TimePoint aSentAt, std::uint64_t aIndex);
  void Greet(TimePoint aNow, const feed::HelloT& aHello);
  // Notes a Ping. Returns the length of the lease to grant, counted from the
  // gateway's sending time, or nothing while none may be granted. A gateway
  // that got none should ping again at once: while no lease runs, each report
  // takes what must be applied forward.
  std::optional<Duration> Grant(TimePoint aNow,
                                const std::string& aVm,
                                std::uint64_t aEpoch,
                                const feed::PingT& aPing);

  // How long ago a quorum confirmed this replica's copy, as of the sending of
  // the question; Duration::max() for never.
  Duration ConfirmedAgo(TimePoint aNow) const;

  // The least applied index among gateways with a running lease, aOwnIndex
  // when there is none; 0 until a lease after the first TakeReport, since
  // leases of this replica's earlier process may run on until then.
  std::uint64_t MinAppliedIndex(TimePoint aNow, std::uint64_t aOwnIndex) const;
  // The same for a ReadIndex that is about to be sent: from now on no gateway
  // that has applied less gets a lease.
  std::uint64_t TakeReport(TimePoint aNow, std::uint64_t aOwnIndex);
  std::vector<Gateway> List() const;
  // Gateways with a running lease that take callers.
  std::uint32_t CountLive(TimePoint aNow) const;
  // Processes that are gone for good; each is returned until Forget.
  std::vector<state::GatewayGoneT> FindGone(TimePoint aNow,
                                            std::uint64_t aUnixMs) const;
  // The GatewayGone of this process is committed.
  void Forget(const std::string& aVm, std::uint64_t aEpoch);

private:
  Duration m_lease;
  Duration m_goneAfter;
  std::optional<TimePoint> m_startedAt;   // the first TakeReport
  std::optional<TimePoint> m_confirmedAt; // sending time
  // Invariant: no lease is granted to a gateway that has applied less.
  std::uint64_t m_floor = 0;
  std::map<std::string, Gateway> m_gateways; // the newest epoch of each VM
  // The highest replaced epoch of each VM, until Forget.
  std::map<std::string, std::uint64_t> m_replaced;
};

} // namespace parsleycove
