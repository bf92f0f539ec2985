// Performs the leader's work besides log replication: tracks the leases of
// endpoints and gateways and the in-force index.
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
};

// Kept for one term as leader. The next term starts with a new object.
class LeaderMaintenance
{
public:
  LeaderMaintenance(const LeaderMaintenanceOptions& aOptions,
                    TimePoint aNow,
                    const state::ConfigImageT& aConfig);

  void UpdateConfig(TimePoint aNow, const state::ConfigImageT& aConfig);
  // Records the report of a replica: the least index that its gateways have
  // applied, and the renewed leases. The leader also records its own report.
  void RecordReport(TimePoint aNow,
                    std::uint64_t aReplica,
                    const consensus::ReadIndexT& aReport);
  // Returns the highest index known to be in force, at most aCommitIndex; 0
  // while none is known.
  std::uint64_t InForceIndex(TimePoint aNow, std::uint64_t aCommitIndex);

  // Returns commands for the leases that expired. A command is returned again
  // until it has been applied.
  std::vector<state::CommandT> FindExpired(TimePoint aNow,
                                           std::uint64_t aUnixMs,
                                           const ReplicatedState& aState);

private:
  // Returns the command for the expired gateway processes of this VM, or
  // std::nullopt if none of them holds an action.
  std::optional<state::GatewayGoneT> FindExpiredGateway(
    TimePoint aNow,
    std::uint64_t aUnixMs,
    const std::string& aVm,
    const ReplicatedState& aState) const;

  const LeaderMaintenanceOptions m_options;
  const TimePoint m_startedAt;
  EndpointLeaseTable m_endpoints;
  InForceTracker m_inForce;
  // Endpoints of the registry by the hash that identifies them in reports.
  std::unordered_map<std::uint64_t, state::EndpointRefT> m_endpointOfKey;
  // When a replica last reported each gateway process, by its hash.
  std::unordered_map<std::uint64_t, TimePoint> m_gatewayReportedAt;
};

} // namespace parsleycove
