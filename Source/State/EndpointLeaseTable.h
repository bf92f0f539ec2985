// The leader's record of when each endpoint was last heard of.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "StateGenerated.h"

namespace parsleycove {

// Soft state of the leader: renewals are not logged, only their end is.
//
// An endpoint that counts its reports and has left stays listed for
// kLeavingMemory, so that each replica refuses what it said before.
class EndpointLeaseTable
{
public:
  // A report that was under way when its sender left arrives within this time:
  // a connection that is cut off gives up or delivers within two minutes.
  static constexpr Duration kLeavingMemory = std::chrono::minutes(2);
  // Endpoints that have left beyond this number are forgotten, oldest first.
  static constexpr std::size_t kMaxLeaving = 4096;

  explicit EndpointLeaseTable(Duration aLease);

  // A new leader cannot know the renewals before it: all start at aNow.
  void Start(TimePoint aNow, const state::ConfigImageT& aImage);
  // Follows the registry: announced endpoints start at aNow, dropped ones go.
  void Follow(TimePoint aNow, const state::ConfigImageT& aImage);
  // Notes renewals; one for an unknown or older incarnation is ignored.
  void Renew(TimePoint aNow, const std::vector<state::EndpointRefT>& aRenewed);
  // Returns the endpoints whose lease ran out, sorted by id, for one
  // DropEndpoints command. To be called several times a lease: after a longer
  // pause of the leader itself all leases start again. An endpoint is returned
  // again one lease later while it is still listed.
  state::DropEndpointsT TakeExpired(TimePoint aNow);

private:
  struct Lease
  {
    std::uint64_t m_incarnation = 0;
    // See DropMark().
    std::uint64_t m_dropMark = 0;
    // The endpoint has left and counts its reports.
    bool m_isLeaving = false;
    TimePoint m_endsAt{};
  };

  Duration LengthOf(const Lease& aLease) const;
  // Ends the leases of the oldest endpoints that have left beyond kMaxLeaving.
  void LimitLeaving(TimePoint aNow);

  Duration m_lease;
  std::optional<TimePoint> m_checkedAt;
  std::unordered_map<std::string, Lease> m_leases;
};

} // namespace parsleycove
