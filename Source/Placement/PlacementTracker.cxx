// What the leader has ordered and what engines report, put together.
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
PlacementTracker::UpdateSettled(TimePoint aNow, std::size_t aEngines)
{
  if (m_engineCount == 0 && aEngines != 0) {
    m_firstAt = aNow;
  }
  if (aEngines != m_engineCount) {
    m_engineCount = aEngines;
    m_engineCountChangedAt = aNow;
  }
  m_hasSettled = m_hasSettled ||
                 (aEngines != 0 &&
                  (aNow - m_engineCountChangedAt >= m_settings.m_settleTime ||
                   aNow - m_firstAt >= m_settings.m_maxSettleTime));
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
  const Duration age = aNow - aSuspicion.m_suspectedAt;
  const bool isConfirmed = aSuspicion.m_isUnreachable ||
                           aSuspicion.m_silences >= m_settings.m_silences;
  return age >= (isConfirmed ? m_settings.m_confirmedFailureDelay
                             : m_settings.m_unconfirmedFailureDelay);
}

std::vector<RunnerPtr>
PlacementTracker::CollectEnginesToProbe(TimePoint aNow,
                                        const std::vector<RunnerPtr>& aEngines)
{
  std::vector<RunnerPtr> unsure;
  for (const RunnerPtr& engine : aEngines) {
    Suspicion* suspicion = UpdateSuspicion(aNow, *engine);
    const bool needsProbe =
      suspicion != nullptr && !suspicion->m_isProbePending &&
      !suspicion->m_isUnreachable &&
      suspicion->m_silences < m_settings.m_silences &&
      aNow - suspicion->m_probedAt >= m_settings.m_probeInterval;
    if (needsProbe) {
      suspicion->m_isProbePending = true;
      suspicion->m_probedAt = aNow;
      unsure.push_back(engine);
    }
  }
  return unsure;
}

void
PlacementTracker::RecordProbeResult(const Runner& aEngine,
                                    EngineProbeResult aResult)
{
  const auto place = m_suspicions.find(aEngine.m_id);
  if (place == m_suspicions.end() ||
      place->second.m_incarnation != aEngine.m_incarnation) {
    return;
  }
  Suspicion& suspicion = place->second;
  suspicion.m_isProbePending = false;
  suspicion.m_isUnreachable = aResult == EngineProbeResult::Unreachable;
  suspicion.m_silences =
    aResult == EngineProbeResult::Answered ? 0 : suspicion.m_silences + 1;
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
    const auto known = m_assignments.find(engine->m_id);
    const bool isOrdered = known != m_assignments.end() &&
                           known->second.m_incarnation == engine->m_incarnation;
    if (isOrdered && host.m_holds != known->second.m_span) {
      host.m_holds = known->second.m_span;
      host.m_isReported = false;
      host.m_isLoading =
        aNow - known->second.m_firstAt < m_settings.m_loadingTimeout;
      if (known->second.m_retryAt <= aNow) {
        known->second.m_retryAt = aNow + m_settings.m_retryInterval;
        due.push_back({ engine, known->second.m_span });
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
  const auto known = m_assignments.find(aEngine.m_id);
  if (known == m_assignments.end() ||
      known->second.m_incarnation != aEngine.m_incarnation) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      return;
    case OrderOutcome::Refused:
    case OrderOutcome::Fenced:
      known->second.m_retryAt = aNow + m_settings.m_retryAfterRefusal;
      return;
    case OrderOutcome::NotDelivered:
    case OrderOutcome::Unknown:
      known->second.m_retryAt = aNow + m_settings.m_retryAfterNoAnswer;
      return;
  }
}

} // namespace parsleycove
