// Compares the leader's placement orders with the reports of engines.
#include "Placement/PlacementTracker.h"

#include <algorithm>

namespace parsleycove {

namespace {

LayerSpan
SpanOf(const Runner& aRunner)
{
  return { aRunner.m_firstLayer, aRunner.m_firstLayer + aRunner.m_layerCount };
}

} // namespace

PlacementTracker::PlacementTracker(PlacementTrackerSettings aSettings)
  : m_settings(aSettings)
{
}

void
PlacementTracker::Reset()
{
  m_assignments.clear();
  m_engineCount = 0;
  m_hasSettled = false;
}

bool
PlacementTracker::UpdateSettled(TimePoint aNow, std::size_t aEngineCount)
{
  if (m_engineCount == 0 && aEngineCount != 0) {
    m_firstEngineAt = aNow;
  }
  if (aEngineCount != m_engineCount) {
    m_engineCount = aEngineCount;
    m_engineCountChangedAt = aNow;
  }
  m_hasSettled = m_hasSettled ||
                 (aEngineCount != 0 &&
                  (aNow - m_engineCountChangedAt >= m_settings.m_settleTime ||
                   aNow - m_firstEngineAt >= m_settings.m_maxSettleTime));
  return m_hasSettled;
}

PlacementTracker::Suspicion*
PlacementTracker::UpdateSuspicion(TimePoint aNow, const Runner& aEngine)
{
  if (!aEngine.m_isSuspected) {
    m_suspicions.erase(aEngine.m_id);
    return nullptr;
  }
  Suspicion& suspicion = m_suspicions[aEngine.m_id];
  if (suspicion.m_incarnation != aEngine.m_incarnation) {
    suspicion = Suspicion{};
    suspicion.m_incarnation = aEngine.m_incarnation;
    suspicion.m_suspectedAt = aNow;
  }
  return &suspicion;
}

bool
PlacementTracker::IsPresumedFailed(TimePoint aNow,
                                   const Suspicion& aSuspicion) const
{
  if (aSuspicion.m_isAnswering) {
    return false;
  }
  const Duration age = aNow - aSuspicion.m_suspectedAt;
  const bool isConfirmed =
    aSuspicion.m_isUnreachable ||
    aSuspicion.m_unansweredProbes >= m_settings.m_unansweredProbeLimit;
  return age >= (isConfirmed ? m_settings.m_confirmedFailureDelay
                             : m_settings.m_unconfirmedFailureDelay);
}

std::vector<RunnerPtr>
PlacementTracker::CollectEnginesToProbe(TimePoint aNow,
                                        const std::vector<RunnerPtr>& aEngines)
{
  std::vector<RunnerPtr> toProbe;
  for (const RunnerPtr& engine : aEngines) {
    Suspicion* suspicion = UpdateSuspicion(aNow, *engine);
    const bool needsProbe =
      suspicion != nullptr && !suspicion->m_isProbePending &&
      !suspicion->m_isUnreachable &&
      suspicion->m_unansweredProbes < m_settings.m_unansweredProbeLimit &&
      aNow - suspicion->m_probedAt >= (suspicion->m_isAnswering
                                         ? m_settings.m_answeredProbeInterval
                                         : m_settings.m_probeInterval);
    if (needsProbe) {
      suspicion->m_isProbePending = true;
      suspicion->m_probedAt = aNow;
      toProbe.push_back(engine);
    }
  }
  return toProbe;
}

void
PlacementTracker::RecordProbeResult(const Runner& aEngine,
                                    EngineProbeResult aResult)
{
  const auto found = m_suspicions.find(aEngine.m_id);
  if (found == m_suspicions.end() ||
      found->second.m_incarnation != aEngine.m_incarnation) {
    return;
  }
  Suspicion& suspicion = found->second;
  suspicion.m_isProbePending = false;
  suspicion.m_isUnreachable = aResult == EngineProbeResult::Unreachable;
  suspicion.m_isAnswering = aResult == EngineProbeResult::Answered;
  suspicion.m_unansweredProbes = aResult == EngineProbeResult::Answered
                                   ? 0
                                   : suspicion.m_unansweredProbes + 1;
}

std::vector<DueOrder>
PlacementTracker::CollectDueOrders(TimePoint aNow,
                                   const LayeredModel& aModel,
                                   const std::vector<RunnerPtr>& aEngines)
{
  std::vector<DueOrder> due;
  if (!UpdateSettled(aNow, aEngines.size())) {
    return due;
  }
  std::vector<LayoutHost> hosts;
  bool mayRepartition = true;
  for (const RunnerPtr& engine : aEngines) {
    const Suspicion* suspicion = UpdateSuspicion(aNow, *engine);
    if (suspicion != nullptr && IsPresumedFailed(aNow, *suspicion)) {
      mayRepartition = mayRepartition && aNow - suspicion->m_suspectedAt >=
                                           m_settings.m_repartitionDelay;
      continue;
    }
    LayoutHost host{ engine->m_id,
                     engine->m_incarnation,
                     engine->m_accelerator,
                     engine->m_zone,
                     SpanOf(*engine) };
    const auto assignment = m_assignments.find(engine->m_id);
    const bool isOrdered =
      assignment != m_assignments.end() &&
      assignment->second.m_incarnation == engine->m_incarnation;
    if (isOrdered && host.m_holds != assignment->second.m_span) {
      host.m_holds = assignment->second.m_span;
      host.m_isReported = false;
      host.m_isLoading =
        aNow - assignment->second.m_orderedAt < m_settings.m_loadingTimeout;
      if (assignment->second.m_retryAt <= aNow) {
        assignment->second.m_retryAt = aNow + m_settings.m_retryInterval;
        due.push_back({ engine, assignment->second.m_span });
      }
    }
    hosts.push_back(std::move(host));
  }
  for (const LayoutOrder& order :
       m_layout.Plan(aModel, std::move(hosts), mayRepartition)) {
    const auto engine = std::find_if(
      aEngines.begin(), aEngines.end(), [&](const RunnerPtr& aEngine) {
        return aEngine->m_id == order.m_id;
      });
    m_assignments[order.m_id] = {
      order.m_incarnation, order.m_span, aNow + m_settings.m_retryInterval, aNow
    };
    due.push_back({ *engine, order.m_span });
  }
  return due;
}

void
PlacementTracker::RecordOrderOutcome(TimePoint aNow,
                                     const Runner& aEngine,
                                     OrderOutcome aOutcome)
{
  const auto assignment = m_assignments.find(aEngine.m_id);
  if (assignment == m_assignments.end() ||
      assignment->second.m_incarnation != aEngine.m_incarnation) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      return;
    case OrderOutcome::Refused:
    case OrderOutcome::Fenced:
      assignment->second.m_retryAt = aNow + m_settings.m_retryAfterRefusal;
      return;
    case OrderOutcome::NotDelivered:
    case OrderOutcome::Unknown:
      assignment->second.m_retryAt = aNow + m_settings.m_retryAfterNoAnswer;
      return;
  }
}

} // namespace parsleycove
