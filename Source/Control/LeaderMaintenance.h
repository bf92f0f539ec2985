// What a leader does besides replicating: leases, in-force index, promotion.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Consensus/Replica.h"
#include "State/EndpointLeaseTable.h"
#include "State/InForceTracker.h"
#include "State/ReplicatedState.h"

namespace parsleycove {

struct LeaderMaintenanceOptions
{
  Duration m_configLease = std::chrono::milliseconds(3000);
  Duration m_endpointLease = std::chrono::seconds(10);
  Duration m_gatewayLease = std::chrono::seconds(15);
  // A learner this close to the commit index is promoted.
  std::uint64_t m_maxLearnerLag = 64;
};

// Kept for one term as leader; a new term starts with a new object.
class LeaderMaintenance
{
public:
  LeaderMaintenance(const LeaderMaintenanceOptions& aOptions,
                    TimePoint aNow,
                    const state::ConfigImageT& aConfig);

  void UpdateConfig(TimePoint aNow, const state::ConfigImageT& aConfig);
  // A replica's report, the leader's own among them.
  void RecordReport(TimePoint aNow,
                    std::uint64_t aReplica,
                    const consensus::ReadIndexT& aReport);
  std::uint64_t InForceIndex(TimePoint aNow, std::uint64_t aCommitIndex);

  // Gateways that take callers, as replicas reported within a lease.
  std::uint32_t GatewayCount(TimePoint aNow) const;

  // Commands for leases that ran out. Each comes again until it was applied.
  std::vector<state::CommandT> FindExpired(TimePoint aNow,
                                           std::uint64_t aUnixMs,
                                           const ReplicatedState& aState);
  // The membership with one learner promoted that has caught up and synced.
  std::optional<consensus::MembershipT> FindPromotion(
    const Replica& aReplica) const;

private:
  std::optional<state::GatewayGoneT> FindExpiredGateway(
    TimePoint aNow,
    std::uint64_t aUnixMs,
    const std::string& aVm,
    const ReplicatedState& aState) const;

  // Gateways that a replica feeds.
  struct FeedReport
  {
    std::uint32_t m_count = 0;
    TimePoint m_reportedAt{};
  };

  const LeaderMaintenanceOptions m_options;
  const TimePoint m_startedAt;
  EndpointLeaseTable m_endpoints;
  InForceTracker m_inForce;
  // Endpoints of the registry by their hash.
  std::unordered_map<std::uint64_t, state::EndpointRefT> m_endpointOfKey;
  std::unordered_map<std::uint64_t, FeedReport> m_feeds;
  // When each gateway process was last reported by a replica.
  std::unordered_map<std::uint64_t, TimePoint> m_gatewayReportedAt;
};

} // namespace parsleycove
