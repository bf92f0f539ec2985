// The leader's record of when each endpoint was last heard of.
#include "State/EndpointLeaseTable.h"

#include <algorithm>
#include <memory>

#include "State/EndpointRegistry.h"

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
    Lease lease{ endpoint->incarnation,
                 DropMark(*endpoint),
                 endpoint->phase == state::EndpointPhase::Leaving &&
                   endpoint->report != 0,
                 TimePoint{} };
    lease.m_endsAt = aNow + LengthOf(lease);
    const auto known = m_leases.find(endpoint->id);
    if (known != m_leases.end() &&
        known->second.m_dropMark == lease.m_dropMark) {
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
      Lease& lease = known->second;
      lease.m_endsAt = std::max(lease.m_endsAt, aNow + LengthOf(lease));
    }
  }
}

Duration
EndpointLeaseTable::LengthOf(const Lease& aLease) const
{
  return aLease.m_isLeaving ? std::max(m_lease, kLeavingMemory) : m_lease;
}

void
EndpointLeaseTable::LimitLeaving(TimePoint aNow)
{
  std::vector<Lease*> leaving;
  for (auto& [id, lease] : m_leases) {
    if (lease.m_isLeaving) {
      leaving.push_back(&lease);
    }
  }
  if (leaving.size() <= kMaxLeaving) {
    return;
  }
  const auto excess = static_cast<std::ptrdiff_t>(leaving.size() - kMaxLeaving);
  std::nth_element(leaving.begin(),
                   leaving.begin() + excess,
                   leaving.end(),
                   [](const Lease* aLeft, const Lease* aRight) {
                     return aLeft->m_endsAt < aRight->m_endsAt;
                   });
  std::for_each(leaving.begin(), leaving.begin() + excess, [&](Lease* aLease) {
    aLease->m_endsAt = std::min(aLease->m_endsAt, aNow);
  });
}

state::DropEndpointsT
EndpointLeaseTable::TakeExpired(TimePoint aNow)
{
  state::DropEndpointsT result;
  const bool paused = m_checkedAt && aNow - *m_checkedAt > m_lease / 2;
  m_checkedAt = aNow;
  if (!paused) {
    LimitLeaving(aNow);
  }
  for (auto& [id, lease] : m_leases) {
    if (paused) {
      lease.m_endsAt = aNow + LengthOf(lease);
      continue;
    }
    if (lease.m_endsAt > aNow) {
      continue;
    }
    lease.m_endsAt = aNow + m_lease;
    auto reference = std::make_unique<state::EndpointRefT>();
    reference->id = id;
    reference->incarnation = lease.m_dropMark;
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
