// Performs the leader's work besides log replication: tracks the leases of
// endpoints and gateways and the in-force index, and selects learners to
// promote.
#include "Control/LeaderMaintenance.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Control/LeaseKey.h"

namespace parsleycove {

namespace {

template<typename Body>
state::CommandT
MakeCommand(Body aBody)
{
  state::CommandT command;
  command.body.Set(std::move(aBody));
  return command;
}

} // namespace

LeaderMaintenance::LeaderMaintenance(const LeaderMaintenanceOptions& aOptions,
                                     TimePoint aNow,
                                     const state::ConfigImageT& aConfig)
  : m_options(aOptions)
  , m_startedAt(aNow)
  , m_endpoints(aOptions.m_endpointLease)
  , m_inForce(aOptions.m_configLease)
{
  m_endpoints.Start(aNow, aConfig);
  m_inForce.Start(aNow);
  UpdateConfig(aNow, aConfig);
}

void
LeaderMaintenance::UpdateConfig(TimePoint aNow,
                                const state::ConfigImageT& aConfig)
{
  m_endpoints.Follow(aNow, aConfig);
  m_endpointOfKey.clear();
  for (const auto& endpoint : aConfig.endpoints) {
    state::EndpointRefT reference;
    reference.id = endpoint->id;
    reference.incarnation = endpoint->incarnation;
    m_endpointOfKey.emplace(HashEndpoint(endpoint->id, endpoint->incarnation),
                            std::move(reference));
  }
}

void
LeaderMaintenance::RecordReport(TimePoint aNow,
                                std::uint64_t aReplica,
                                const consensus::ReadIndexT& aReport)
{
  m_inForce.Answer(aNow, aReplica, aReport.report_min_index);
  std::vector<state::EndpointRefT> renewed;
  for (const std::uint64_t key : aReport.renewed) {
    if (const auto found = m_endpointOfKey.find(key);
        found != m_endpointOfKey.end()) {
      renewed.push_back(found->second);
    } else {
      m_gatewayReportedAt[key] = aNow;
    }
  }
  m_endpoints.Renew(aNow, renewed);
  std::erase_if(m_gatewayReportedAt, [&](const auto& aReported) {
    return aNow - aReported.second > 2 * m_options.m_gatewayLease;
  });
}

std::uint64_t
LeaderMaintenance::InForceIndex(TimePoint aNow, std::uint64_t aCommitIndex)
{
  return m_inForce.InForceIndex(aNow, aCommitIndex);
}

std::vector<state::CommandT>
LeaderMaintenance::FindExpired(TimePoint aNow,
                               std::uint64_t aUnixMs,
                               const ReplicatedState& aState)
{
  std::vector<state::CommandT> commands;
  state::DropEndpointsT dropped = m_endpoints.TakeExpired(aNow);
  if (!dropped.endpoints.empty()) {
    commands.push_back(MakeCommand(std::move(dropped)));
  }
  // Until this term began, replicas reported gateways to an earlier leader. A
  // gateway counts as expired only after a full lease within this term.
  if (aNow - m_startedAt < m_options.m_gatewayLease) {
    return commands;
  }
  for (const std::string& vm : aState.ListHolders()) {
    if (auto expired = FindExpiredGateway(aNow, aUnixMs, vm, aState)) {
      commands.push_back(MakeCommand(std::move(*expired)));
    }
  }
  return commands;
}

std::optional<state::GatewayGoneT>
LeaderMaintenance::FindExpiredGateway(TimePoint aNow,
                                      std::uint64_t aUnixMs,
                                      const std::string& aVm,
                                      const ReplicatedState& aState) const
{
  // The newest expired process is enough: GatewayGone also covers the older
  // processes, which cannot run at the same time on the same VM.
  std::uint64_t epoch = 0;
  constexpr auto kAnyEpoch = std::numeric_limits<std::uint64_t>::max();
  for (const auto* record : aState.FindHeldActions(aVm, kAnyEpoch)) {
    const auto reported =
      m_gatewayReportedAt.find(HashGateway(aVm, record->gateway_epoch));
    const bool live = reported != m_gatewayReportedAt.end() &&
                      aNow - reported->second < m_options.m_gatewayLease;
    if (live) {
      continue;
    }
    epoch = std::max(epoch, record->gateway_epoch);
  }
  if (epoch == 0) {
    return std::nullopt;
  }
  state::GatewayGoneT expired;
  expired.gateway = aVm;
  expired.gateway_epoch = epoch;
  expired.unix_ms = aUnixMs;
  return expired;
}

} // namespace parsleycove
