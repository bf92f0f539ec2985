// Decides whether this VM reaches the endpoints of one service.
//
// Reachability is a relation between a VM and an endpoint, not a state of the
// endpoint. Fault patterns: a VM loses its links to all endpoints, which hang,
// are reset or refuse new connections, while other VMs still reach them; a
// single endpoint ends or falls silent for a second; a few of many endpoints
// are out of reach; links are lost again and again.
#pragma once

#include <cstddef>
#include <vector>

#include "Base/Clock.h"
#include "Routing/Runner.h"

namespace parsleycove {

struct ServiceReachSettings
{
  // Endpoints that were tried in vain since the last contact with any endpoint
  // of the service; all endpoints where the service has fewer, with as many
  // attempts. One that ends takes no part of the service with it.
  std::size_t m_minUnreached = 3;
  // An attempt that failed longer ago is no evidence.
  Duration m_evidenceWindow = std::chrono::seconds(2);
  // Time between two trial connections of this service, and once it counts as
  // unreached.
  Duration m_trialInterval = std::chrono::milliseconds(50);
  Duration m_returnTrialInterval = std::chrono::milliseconds(100);
  // A call without an answer makes the VM try connections after this time if no
  // endpoint of the service has answered meanwhile.
  Duration m_trialAfterSilence = std::chrono::milliseconds(100);
  // Trials in succession that have to succeed before the service counts as
  // reached again; twice as many each time it was lost again within
  // m_relapseWindow, up to m_maxReturnTrials.
  std::size_t m_minReturnTrials = 3;
  std::size_t m_maxReturnTrials = 12;
  Duration m_relapseWindow = std::chrono::seconds(10);
};

// What this VM knows of its links to the endpoints of one service.
struct ReachEvidence
{
  std::size_t m_listed = 0;
  // Endpoints that were tried in vain since the last contact.
  std::size_t m_unreached = 0;
  // The clock's epoch if there was none.
  TimePoint m_lastContactAt{};
};

// Invariant: the state changes only in Update and RecordTrial.
class ServiceReach
{
public:
  explicit ServiceReach(ServiceReachSettings aSettings = {});

  // Returns false while nothing has happened that Update would evaluate.
  bool NeedsCheck(TimePoint aNow) const;
  // Records that an attempt to reach an endpoint failed.
  void RecordAttempt(TimePoint aNow);
  // Evaluates the evidence that the load records of the service's endpoints
  // hold. Returns whether the service was lost.
  bool Update(TimePoint aNow, const std::vector<RunnerPtr>& aEndpoints);
  // Records the outcome of a trial connection. Returns whether the service is
  // reached again.
  bool RecordTrial(TimePoint aNow, bool aIsReached);
  // A call that was sent at aSentAt has no answer yet.
  void RecordWaiting(TimePoint aSentAt);

  bool IsUnreached() const { return m_isUnreached; }
  const ReachEvidence& Evidence() const { return m_evidence; }
  TimePoint UnreachedSince() const { return m_unreachedSince; }
  // Returns true if another endpoint than aEndpoint was reached after aSince.
  // Then a failure of aEndpoint is not a failure of this VM's links. Returns
  // true as well if the service has no other endpoint.
  static bool HasWitness(const Runner& aEndpoint,
                         TimePoint aSince,
                         const std::vector<RunnerPtr>& aEndpoints);
  // Makes the next trial due, because a report waits for a witness.
  void RequestTrial() { m_isTrialRequested = true; }
  // Returns true if this VM may have lost its links.
  bool IsInDoubt() const
  {
    return m_isUnreached || m_waitingSince != TimePoint::max() ||
           (m_evidence.m_unreached != 0 &&
            m_evidence.m_unreached == m_evidence.m_listed);
  }
  // Returns the endpoint to try a connection to now, or nullptr if no trial is
  // due. The endpoints take turns; those that were last reached go first while
  // the service counts as reached.
  RunnerPtr TakeTrial(TimePoint aNow, const std::vector<RunnerPtr>& aEndpoints);

private:
  RunnerPtr ChooseTrial(const std::vector<RunnerPtr>& aEndpoints);

  const ServiceReachSettings m_settings;
  ReachEvidence m_evidence;
  bool m_isUnreached = false;
  bool m_isTrialRequested = false;
  bool m_isTrialPending = false;
  TimePoint m_unreachedSince{};
  TimePoint m_returnedAt{};
  TimePoint m_trialAt{};
  TimePoint m_attemptedAt{};
  // When the oldest call that waits in vain was sent; TimePoint::max() if none
  // waits.
  TimePoint m_waitingSince = TimePoint::max();
  // Attempts that failed since the last contact.
  std::size_t m_vainAttempts = 0;
  TimePoint m_countedContactAt{};
  std::size_t m_nextTrial = 0;
  std::size_t m_succeeded = 0;
  std::size_t m_returnTrials = 0;
};

} // namespace parsleycove
