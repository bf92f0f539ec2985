// Selects an endpoint for one call to a plain service.
#include "Routing/ServicePicker.h"

#include <algorithm>

namespace parsleycove {

namespace {

// Cost of a call to another zone, expressed as load in calls per slot.
constexpr double kOtherZonePenalty = 0.05;
constexpr double kOpenCircuitPenalty = 1e6;

} // namespace

ServicePicker::ServicePicker(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

double
ServicePicker::Score(TimePoint aNow,
                     const Runner& aRunner,
                     const PickRequest& aRequest) const
{
  const RunnerLoad& load = *aRunner.m_load;
  const double slots = std::max(1U, aRunner.m_slots);
  double score =
    (1.0 + load.EstimateStreams(aNow)) / slots * load.Slowdown(aNow);
  if (aRunner.m_zone != aRequest.m_ownZone) {
    score += kOtherZonePenalty / slots;
  }
  if (load.Circuit(aNow) == CircuitState::Open) {
    score += kOpenCircuitPenalty;
  }
  return score;
}

void
ServicePicker::CollectCandidates(TimePoint aNow,
                                 const RunnerTable& aTable,
                                 const PickRequest& aRequest)
{
  m_candidates.clear();
  m_availableAt = TimePoint{};
  const auto* all = aTable.FindService(aRequest.m_service);
  if (all == nullptr) {
    return;
  }
  for (const RunnerPtr& runner : *all) {
    const EndpointNotice& notice = runner->m_load->Notice();
    if (notice.IsLeaving()) {
      continue;
    }
    if (notice.IsPaused(aNow)) {
      const TimePoint until = notice.PausedUntil();
      m_availableAt =
        m_availableAt == TimePoint{} ? until : std::min(m_availableAt, until);
      continue;
    }
    const auto& excluded = aRequest.m_excluded;
    if (std::find(excluded.begin(), excluded.end(), runner->m_id) ==
        excluded.end()) {
      m_candidates.push_back(&runner);
    }
  }
}

RunnerPtr
ServicePicker::Pick(TimePoint aNow,
                    const RunnerTable& aTable,
                    const PickRequest& aRequest)
{
  m_reason = {};
  CollectCandidates(aNow, aTable, aRequest);
  if (m_candidates.empty()) {
    const bool isPaused = m_availableAt != TimePoint{};
    m_reason.Set(isPaused ? PickError::AllPaused : PickError::NoEndpoint,
                 "service " + aRequest.m_service +
                   ": expected a ready endpoint that was not excluded" +
                   (isPaused ? " and takes new work now" : ""));
    return nullptr;
  }
  RunnerPtr picked = PickCandidate(aNow, aRequest);
  picked->m_load->Quota().RecordDemand(aNow);
  if (!picked->m_load->Quota().MayTake(aNow)) {
    KeepCandidatesWithQuota(aNow);
    if (m_candidates.empty()) {
      m_reason.Set(PickError::AllLimited,
                   "service " + aRequest.m_service +
                     ": expected an endpoint whose limit allows a request");
      return nullptr;
    }
    picked = PickCandidate(aNow, aRequest);
    picked->m_load->Quota().RecordDemand(aNow);
  }
  picked->m_load->ClaimProbe(aNow);
  return picked;
}

void
ServicePicker::KeepCandidatesWithQuota(TimePoint aNow)
{
  TimePoint first = aNow + RequestQuota::kMaxWait;
  for (const RunnerPtr* candidate : m_candidates) {
    first = std::min(first, (*candidate)->m_load->Quota().NextAt(aNow));
  }
  std::erase_if(m_candidates, [&](const RunnerPtr* aCandidate) {
    return !(*aCandidate)->m_load->Quota().MayTake(aNow);
  });
  if (m_candidates.empty()) {
    m_availableAt = first;
  }
}

RunnerPtr
ServicePicker::PickCandidate(TimePoint aNow, const PickRequest& aRequest)
{
  // An endpoint with an open circuit is picked only if no other endpoint is
  // left.
  const auto hasOpenCircuit = [aNow](const RunnerPtr* aRunner) {
    return (*aRunner)->m_load->Circuit(aNow) == CircuitState::Open;
  };
  const auto healthyEnd = std::stable_partition(
    m_candidates.begin(), m_candidates.end(), [&](const RunnerPtr* aRunner) {
      return !hasOpenCircuit(aRunner);
    });
  const auto healthy =
    static_cast<std::size_t>(healthyEnd - m_candidates.begin());
  const std::size_t count = healthy > 0 ? healthy : m_candidates.size();
  const std::size_t first = m_random.Below(count);
  const std::size_t step = count > 1 ? 1 + m_random.Below(count - 1) : 0;
  const RunnerPtr& one = *m_candidates[first];
  const RunnerPtr& other = *m_candidates[(first + step) % count];
  const bool otherIsBetter =
    Score(aNow, *other, aRequest) < Score(aNow, *one, aRequest);
  return otherIsBetter ? other : one;
}

} // namespace parsleycove
