// The leader's record of when each endpoint was last heard of.
#include "State/EndpointLeaseTable.h"

#include <algorithm>
#include <memory>

namespace parsleycove {

EndpointLeaseTable::EndpointLeaseTable(Duration aLease)
  : m_lease(aLease)
{
}

void
EndpointLeaseTable::Start(TimePoint aNow, const state::ConfigImageT& aImage)
{
  m_leases.clear();
  m_checkedAt = aNow;
  Follow(aNow, aImage);
}

void
EndpointLeaseTable::Follow(TimePoint aNow, const state::ConfigImageT& aImage)
{
  std::unordered_map<std::string, Lease> next;
  next.reserve(aImage.endpoints.size());
  for (const auto& endpoint : aImage.endpoints) {
    Lease lease{ endpoint->incarnation, aNow + m_lease };
    const auto known = m_leases.find(endpoint->id);
    if (known != m_leases.end() &&
        known->second.m_incarnation == endpoint->incarnation) {
      lease = known->second;
    }
    next.emplace(endpoint->id, lease);
  }
  m_leases = std::move(next);
}

void
EndpointLeaseTable::Renew(TimePoint aNow,
                          const std::vector<state::EndpointRefT>& aRenewed)
{
  for (const state::EndpointRefT& reference : aRenewed) {
    const auto known = m_leases.find(reference.id);
    if (known != m_leases.end() &&
        known->second.m_incarnation == reference.incarnation) {
      known->second.m_endsAt = std::max(known->second.m_endsAt, aNow + m_lease);
    }
  }
}

state::DropEndpointsT
EndpointLeaseTable::TakeExpired(TimePoint aNow)
{
  state::DropEndpointsT result;
  const bool paused = m_checkedAt && aNow - *m_checkedAt > m_lease / 2;
  m_checkedAt = aNow;
  for (auto& [id, lease] : m_leases) {
    if (paused) {
      lease.m_endsAt = aNow + m_lease;
      continue;
    }
    if (lease.m_endsAt > aNow) {
      continue;
    }
    lease.m_endsAt = aNow + m_lease;
    auto reference = std::make_unique<state::EndpointRefT>();
    reference->id = id;
    reference->incarnation = lease.m_incarnation;
    result.endpoints.push_back(std::move(reference));
  }
  std::sort(result.endpoints.begin(),
            result.endpoints.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->id < aRight->id;
            });
  return result;
}

} // namespace parsleycove
