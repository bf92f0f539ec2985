// Decides whether this VM reaches the endpoints of one service.
#include "Reach/ServiceReach.h"

#include <algorithm>

namespace parsleycove {

ServiceReach::ServiceReach(ServiceReachSettings aSettings)
  : m_settings(aSettings)
  , m_returnTrials(aSettings.m_minReturnTrials)
{
}

bool
ServiceReach::NeedsCheck(TimePoint aNow) const
{
  return m_isUnreached || m_isTrialRequested ||
         m_waitingSince != TimePoint::max() ||
         aNow - m_attemptedAt < m_settings.m_evidenceWindow;
}

void
ServiceReach::RecordAttempt(TimePoint aNow)
{
  m_attemptedAt = aNow;
  ++m_vainAttempts;
}

bool
ServiceReach::Update(TimePoint aNow, const std::vector<RunnerPtr>& aEndpoints)
{
  m_evidence = {};
  m_evidence.m_listed = aEndpoints.size();
  for (const RunnerPtr& endpoint : aEndpoints) {
    m_evidence.m_lastContactAt =
      std::max(m_evidence.m_lastContactAt, endpoint->m_load->ReachedAt());
  }
  m_evidence.m_unreached = static_cast<std::size_t>(std::count_if(
    aEndpoints.begin(), aEndpoints.end(), [&](const RunnerPtr& aEndpoint) {
      const TimePoint at = aEndpoint->m_load->UnreachedAt();
      return at > m_evidence.m_lastContactAt &&
             aNow - at < m_settings.m_evidenceWindow;
    }));
  if (m_evidence.m_lastContactAt >= m_waitingSince) {
    m_waitingSince = TimePoint::max();
  }
  const std::size_t needed =
    std::min(m_settings.m_minUnreached, aEndpoints.size());
  if (m_evidence.m_lastContactAt > m_countedContactAt) {
    m_countedContactAt = m_evidence.m_lastContactAt;
    m_vainAttempts = m_evidence.m_unreached;
  }
  if (m_isUnreached || needed == 0 || m_evidence.m_unreached < needed ||
      m_vainAttempts < m_settings.m_minUnreached) {
    return false;
  }
  const bool isRelapse = m_returnedAt != TimePoint{} &&
                         aNow - m_returnedAt < m_settings.m_relapseWindow;
  m_returnTrials =
    isRelapse ? std::min(m_returnTrials * 2, m_settings.m_maxReturnTrials)
              : m_settings.m_minReturnTrials;
  m_isUnreached = true;
  m_unreachedSince = aNow;
  m_succeeded = 0;
  return true;
}

bool
ServiceReach::RecordTrial(TimePoint aNow, bool aIsReached)
{
  m_isTrialPending = false;
  m_attemptedAt = aNow;
  m_succeeded = aIsReached ? m_succeeded + 1 : 0;
  m_vainAttempts += aIsReached ? 0 : 1;
  if (!m_isUnreached || m_succeeded < m_returnTrials) {
    return false;
  }
  m_isUnreached = false;
  m_returnedAt = aNow;
  m_waitingSince = TimePoint::max();
  return true;
}

void
ServiceReach::RecordWaiting(TimePoint aSentAt)
{
  m_waitingSince = std::min(m_waitingSince, aSentAt);
}

bool
ServiceReach::HasWitness(const Runner& aEndpoint,
                         TimePoint aSince,
                         const std::vector<RunnerPtr>& aEndpoints)
{
  bool hasOther = false;
  for (const RunnerPtr& other : aEndpoints) {
    if (other->m_id == aEndpoint.m_id) {
      continue;
    }
    hasOther = true;
    if (other->m_load->ReachedAt() > aSince) {
      return true;
    }
  }
  return !hasOther;
}

RunnerPtr
ServiceReach::TakeTrial(TimePoint aNow,
                        const std::vector<RunnerPtr>& aEndpoints)
{
  const bool isSilent = m_waitingSince != TimePoint::max() &&
                        aNow - m_waitingSince > m_settings.m_trialAfterSilence;
  const bool areAllUnreached = m_evidence.m_unreached != 0 &&
                               m_evidence.m_unreached == m_evidence.m_listed;
  const bool isDue =
    m_isUnreached || m_isTrialRequested || isSilent || areAllUnreached;
  const Duration interval = m_isUnreached ? m_settings.m_returnTrialInterval
                                          : m_settings.m_trialInterval;
  // A report does not wait for the interval.
  const bool isUrgent = m_isTrialRequested && !m_isTrialPending;
  if (!isDue || aEndpoints.empty() ||
      (aNow - m_trialAt < interval && !isUrgent)) {
    return nullptr;
  }
  m_isTrialRequested = false;
  m_isTrialPending = true;
  m_trialAt = aNow;
  return ChooseTrial(aEndpoints);
}

RunnerPtr
ServiceReach::ChooseTrial(const std::vector<RunnerPtr>& aEndpoints)
{
  RunnerPtr chosen;
  for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
    const RunnerPtr& endpoint =
      aEndpoints[(m_nextTrial + i) % aEndpoints.size()];
    const RunnerLoad& load = *endpoint->m_load;
    // An endpoint that the fleet holds for failed says nothing about the links.
    const bool isGood =
      !endpoint->m_isSuspected &&
      (m_isUnreached || load.ReachedAt() >= load.UnreachedAt());
    if (!chosen || isGood) {
      chosen = endpoint;
    }
    if (isGood) {
      m_nextTrial += i;
      break;
    }
  }
  ++m_nextTrial;
  return chosen;
}

} // namespace parsleycove
