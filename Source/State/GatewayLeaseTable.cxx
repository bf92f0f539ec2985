// A replica's record of the gateways that it feeds.
#include "State/GatewayLeaseTable.h"

#include <algorithm>

namespace parsleycove {

namespace {

state::GatewayGoneT
MakeGone(const std::string& aVm, std::uint64_t aEpoch, std::uint64_t aUnixMs)
{
  state::GatewayGoneT gone;
  gone.gateway = aVm;
  gone.gateway_epoch = aEpoch;
  gone.unix_ms = aUnixMs;
  return gone;
}

} // namespace

GatewayLeaseTable::GatewayLeaseTable(Duration aLease, Duration aGoneAfter)
  : m_lease(aLease)
  , m_goneAfter(aGoneAfter)
{
}

void
GatewayLeaseTable::ConfirmRead(TimePoint aNow,
                               TimePoint aSentAt,
                               std::uint64_t aIndex)
{
  // After a silence the leader may have counted our gateways as gone and gone
  // on without them.
  if (!m_confirmedAt || aNow > *m_confirmedAt + m_lease) {
    m_floor = std::max(m_floor, aIndex);
  }
  m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, aSentAt) : aSentAt;
}

void
GatewayLeaseTable::Greet(TimePoint aNow, const feed::HelloT& aHello)
{
  const Gateway fresh{ aHello.vm,
                       aHello.zone,
                       aHello.epoch,
                       0,
                       aNow,
                       false,
                       !aHello.takes_no_callers };
  const auto [position, added] = m_gateways.emplace(aHello.vm, fresh);
  Gateway& known = position->second;
  if (added || known.m_epoch >= aHello.epoch) {
    return;
  }
  m_replaced[aHello.vm] = known.m_epoch;
  known = fresh;
}

std::optional<Duration>
GatewayLeaseTable::Grant(TimePoint aNow,
                         const std::string& aVm,
                         std::uint64_t aEpoch,
                         const feed::PingT& aPing)
{
  const auto found = m_gateways.find(aVm);
  if (found == m_gateways.end() || found->second.m_epoch != aEpoch) {
    return std::nullopt;
  }
  Gateway& gateway = found->second;
  gateway.m_appliedIndex =
    std::max(gateway.m_appliedIndex, aPing.applied_index);
  gateway.m_stopping = aPing.stopping;
  if (!m_confirmedAt || aNow >= *m_confirmedAt + m_lease) {
    return std::nullopt;
  }
  if (aPing.applied_index < m_floor) {
    return std::nullopt;
  }
  gateway.m_leaseEnd = *m_confirmedAt + m_lease;
  return gateway.m_leaseEnd - aNow;
}

Duration
GatewayLeaseTable::ConfirmedAgo(TimePoint aNow) const
{
  return m_confirmedAt ? aNow - *m_confirmedAt : Duration::max();
}

std::uint64_t
GatewayLeaseTable::MinAppliedIndex(TimePoint aNow,
                                   std::uint64_t aOwnIndex) const
{
  if (!m_startedAt || aNow <= *m_startedAt + m_lease) {
    return 0;
  }
  std::uint64_t result = aOwnIndex;
  for (const auto& [vm, gateway] : m_gateways) {
    if (gateway.m_leaseEnd > aNow) {
      result = std::min(result, gateway.m_appliedIndex);
    }
  }
  return result;
}

std::uint64_t
GatewayLeaseTable::TakeReport(TimePoint aNow, std::uint64_t aOwnIndex)
{
  if (!m_startedAt) {
    m_startedAt = aNow;
  }
  const std::uint64_t result = MinAppliedIndex(aNow, aOwnIndex);
  m_floor = std::max(m_floor, result);
  return result;
}

std::vector<GatewayLeaseTable::Gateway>
GatewayLeaseTable::List() const
{
  std::vector<Gateway> result;
  result.reserve(m_gateways.size());
  for (const auto& [vm, gateway] : m_gateways) {
    result.push_back(gateway);
  }
  return result;
}

std::uint32_t
GatewayLeaseTable::CountLive(TimePoint aNow) const
{
  return std::count_if(
    m_gateways.begin(), m_gateways.end(), [&](const auto& aPair) {
      return aPair.second.m_takesCallers && aPair.second.m_leaseEnd > aNow;
    });
}

std::vector<state::GatewayGoneT>
GatewayLeaseTable::FindGone(TimePoint aNow, std::uint64_t aUnixMs) const
{
  std::vector<state::GatewayGoneT> result;
  for (const auto& [vm, epoch] : m_replaced) {
    result.push_back(MakeGone(vm, epoch, aUnixMs));
  }
  for (const auto& [vm, gateway] : m_gateways) {
    if (aNow >= gateway.m_leaseEnd + m_goneAfter) {
      result.push_back(MakeGone(vm, gateway.m_epoch, aUnixMs));
    }
  }
  return result;
}

void
GatewayLeaseTable::Forget(const std::string& aVm, std::uint64_t aEpoch)
{
  if (const auto replaced = m_replaced.find(aVm);
      replaced != m_replaced.end() && replaced->second <= aEpoch) {
    m_replaced.erase(replaced);
  }
  if (const auto known = m_gateways.find(aVm);
      known != m_gateways.end() && known->second.m_epoch <= aEpoch) {
    m_gateways.erase(known);
  }
}

} // namespace parsleycove
