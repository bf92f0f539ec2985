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
// A lease counts from the time at which the gateway sent its Ping, as the
// gateway judges it; the replica, which sees the Ping later, keeps it for the
// lease counted from its receipt, so it never ends earlier here than there.
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
  };

  // aGoneAfter: a gateway this long without a lease is taken for dead.
  GatewayLeaseTable(Duration aLease, Duration aGoneAfter);

  // The replica sent a ReadIndex at aSentAt that the leader has answered.
  void ConfirmRead(TimePoint aSentAt);
  void Greet(TimePoint aNow, const feed::HelloT& aHello);
  // Notes a Ping. Returns the length of the lease to grant, counted from the
  // gateway's sending time, or nothing while the replica may not grant one:
  // its own last answered ReadIndex is older than the lease.
  std::optional<Duration> Grant(TimePoint aNow,
                                const std::string& aVm,
                                std::uint64_t aEpoch,
                                const feed::PingT& aPing);

  // Least applied index among gateways with a lease that runs; aOwnIndex when
  // there is none.
  std::uint64_t MinAppliedIndex(TimePoint aNow, std::uint64_t aOwnIndex) const;
  std::vector<Gateway> List() const;
  std::uint32_t CountLive(TimePoint aNow) const;
  // Gateways without a lease for good; each is returned until Forget.
  std::vector<state::GatewayGoneT> FindGone(TimePoint aNow,
                                            std::uint64_t aUnixMs) const;
  void Forget(const std::string& aVm, std::uint64_t aEpoch);

private:
  Duration m_lease;
  Duration m_goneAfter;
  std::optional<TimePoint> m_confirmedAt;
  std::map<std::string, Gateway> m_gateways; // the newest epoch of each VM
};

} // namespace parsleycove
