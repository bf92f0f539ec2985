// Selects an endpoint for one call to a plain service.
#pragma once

#include <string>
#include <vector>

#include "Base/Reason.h"
#include "Routing/Random.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

enum class PickError
{
  None,
  // No endpoint is Ready, or all of them were excluded or are leaving.
  NoEndpoint,
  // The endpoints that are left want nothing new for a while.
  AllPaused,
  // The endpoints that are left may get no request now by the limits that they
  // have named.
  AllLimited,
};
using PickReason = Reason<PickError>;

struct PickRequest
{
  std::string m_service;
  std::vector<std::string> m_excluded;
  std::string m_ownZone;
};

// Picks the less loaded of two random endpoints; at about equal load, the one
// in this VM's availability zone.
class ServicePicker
{
public:
  explicit ServicePicker(std::uint64_t aSeed);

  // Returns nullptr if there is no endpoint; LastReason() then says why.
  RunnerPtr Pick(TimePoint aNow,
                 const RunnerTable& aTable,
                 const PickRequest& aRequest);
  const PickReason& LastReason() const { return m_reason; }
  // After a failed pick: the first end of the pauses that the service's
  // endpoints asked for, or with AllLimited the time of the next request that a
  // limit allows, or the clock's epoch.
  TimePoint AvailableAt() const { return m_availableAt; }

private:
  // Sets m_candidates and m_availableAt.
  void CollectCandidates(TimePoint aNow,
                         const RunnerTable& aTable,
                         const PickRequest& aRequest);
  // Returns the better one of two of m_candidates, which must not be empty.
  RunnerPtr PickCandidate(TimePoint aNow, const PickRequest& aRequest);
  // Leaves only the candidates that may get one more request by their limits.
  // Sets m_availableAt if none is left.
  void KeepCandidatesWithQuota(TimePoint aNow);
  double Score(TimePoint aNow,
               const Runner& aRunner,
               const PickRequest& aRequest) const;

  Random m_random;
  PickReason m_reason;
  TimePoint m_availableAt{};
  // Reused between calls to save allocations.
  std::vector<const RunnerPtr*> m_candidates;
};

} // namespace parsleycove
