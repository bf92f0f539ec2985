// The leader's record of when each endpoint was last heard of.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "StateGenerated.h"

namespace parsleycove {

// Soft state of the leader: renewals are not logged, only their end is.
class EndpointLeaseTable
{
public:
  explicit EndpointLeaseTable(Duration aLease);

  // A new leader cannot know the renewals before it: all start at aNow.
  void Start(TimePoint aNow, const state::ConfigImageT& aImage);
  // Follows the registry: announced endpoints start at aNow, dropped ones go.
  void Follow(TimePoint aNow, const state::ConfigImageT& aImage);
  // Notes renewals; one for an unknown or older incarnation is ignored.
  void Renew(TimePoint aNow, const std::vector<state::EndpointRefT>& aRenewed);
  // Returns the endpoints whose lease ran out, for one DropEndpoints command.
  // Each is returned again until Follow has seen it dropped.
  state::DropEndpointsT TakeExpired(TimePoint aNow) const;

private:
  struct Lease
  {
    std::uint64_t m_incarnation = 0;
    TimePoint m_renewedAt{};
  };

  Duration m_lease;
  std::unordered_map<std::string, Lease> m_leases;
};

} // namespace parsleycove
