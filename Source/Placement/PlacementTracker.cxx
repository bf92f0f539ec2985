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

PlacementDesk::PlacementDesk(PlacementDeskSettings aSettings)
  : m_settings(aSettings)
{
}

void
PlacementDesk::Reset()
{
  m_assigned.clear();
  m_seen = 0;
  m_settled = false;
}

bool
PlacementDesk::HasSettled(TimePoint aNow, std::size_t aEngines)
{
  if (m_seen == 0 && aEngines != 0) {
    m_firstAt = aNow;
  }
  if (aEngines != m_seen) {
    m_seen = aEngines;
    m_lastNewAt = aNow;
  }
  m_settled = m_settled || (aEngines != 0 &&
                            (aNow - m_lastNewAt >= m_settings.m_settle ||
                             aNow - m_firstAt >= m_settings.m_longestSettle));
  return m_settled;
}

PlacementDesk::Suspicion*
PlacementDesk::FindSuspicion(TimePoint aNow, const Runner& aEngine)
{
  if (!aEngine.m_isSuspected) {
    m_suspicions.erase(aEngine.m_id);
    return nullptr;
  }
  Suspicion& suspicion = m_suspicions[aEngine.m_id];
  if (suspicion.m_incarnation != aEngine.m_incarnation) {
    suspicion = Suspicion{};
    suspicion.m_incarnation = aEngine.m_incarnation;
    suspicion.m_since = aNow;
  }
  return &suspicion;
}

bool
PlacementDesk::IsLost(TimePoint aNow, const Suspicion& aSuspicion) const
{
  const Duration age = aNow - aSuspicion.m_since;
  const bool isGone =
    aSuspicion.m_isGone || aSuspicion.m_silences >= m_settings.m_silences;
  return age >= (isGone ? m_settings.m_goneAfter : m_settings.m_lostAfter);
}

std::vector<RunnerPtr>
PlacementDesk::FindUnsure(TimePoint aNow,
                          const std::vector<RunnerPtr>& aEngines)
{
  std::vector<RunnerPtr> unsure;
  for (const RunnerPtr& engine : aEngines) {
    Suspicion* suspicion = FindSuspicion(aNow, *engine);
    const bool isOpen = suspicion != nullptr && !suspicion->m_isAsked &&
                        !suspicion->m_isGone &&
                        suspicion->m_silences < m_settings.m_silences &&
                        aNow - suspicion->m_askedAt >= m_settings.m_askAgain;
    if (isOpen) {
      suspicion->m_isAsked = true;
      suspicion->m_askedAt = aNow;
      unsure.push_back(engine);
    }
  }
  return unsure;
}

void
PlacementDesk::NotePresence(const Runner& aEngine, EnginePresence aPresence)
{
  const auto place = m_suspicions.find(aEngine.m_id);
  if (place == m_suspicions.end() ||
      place->second.m_incarnation != aEngine.m_incarnation) {
    return;
  }
  Suspicion& suspicion = place->second;
  suspicion.m_isAsked = false;
  suspicion.m_isGone = aPresence == EnginePresence::Gone;
  suspicion.m_silences =
    aPresence == EnginePresence::Answers ? 0 : suspicion.m_silences + 1;
}

std::vector<DueOrder>
PlacementDesk::FindDue(TimePoint aNow,
                       const LayeredModel& aModel,
                       const std::vector<RunnerPtr>& aEngines)
{
  std::vector<DueOrder> due;
  if (!HasSettled(aNow, aEngines.size())) {
    return due;
  }
  std::vector<LayoutHost> hosts;
  bool mayReshape = true;
  for (const RunnerPtr& engine : aEngines) {
    const Suspicion* suspicion = FindSuspicion(aNow, *engine);
    if (suspicion != nullptr && IsLost(aNow, *suspicion)) {
      mayReshape =
        mayReshape && aNow - suspicion->m_since >= m_settings.m_reshapeAfter;
      continue;
    }
    LayoutHost host{ engine->m_id,
                     engine->m_incarnation,
                     engine->m_accelerator,
                     engine->m_zone,
                     SpanOf(*engine) };
    const auto known = m_assigned.find(engine->m_id);
    const bool isOrdered = known != m_assigned.end() &&
                           known->second.m_incarnation == engine->m_incarnation;
    if (isOrdered && host.m_holds != known->second.m_span) {
      host.m_holds = known->second.m_span;
      host.m_isReported = false;
      host.m_isLoading = aNow - known->second.m_firstAt < m_settings.m_loading;
      if (known->second.m_repeatAt <= aNow) {
        known->second.m_repeatAt = aNow + m_settings.m_repeat;
        due.push_back({ engine, known->second.m_span });
      }
    }
    hosts.push_back(std::move(host));
  }
  for (const LayoutOrder& order :
       m_layout.Plan(aModel, std::move(hosts), mayReshape)) {
    const auto engine = std::find_if(
      aEngines.begin(), aEngines.end(), [&](const RunnerPtr& aEngine) {
        return aEngine->m_id == order.m_id;
      });
    m_assigned[order.m_id] = {
      order.m_incarnation, order.m_span, aNow + m_settings.m_repeat, aNow
    };
    due.push_back({ *engine, order.m_span });
  }
  return due;
}

void
PlacementDesk::NoteOutcome(TimePoint aNow,
                           const Runner& aEngine,
                           OrderOutcome aOutcome)
{
  const auto known = m_assigned.find(aEngine.m_id);
  if (known == m_assigned.end() ||
      known->second.m_incarnation != aEngine.m_incarnation) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Taken:
      return;
    case OrderOutcome::Refused:
    case OrderOutcome::Fenced:
      known->second.m_repeatAt = aNow + m_settings.m_repeatRefused;
      return;
    case OrderOutcome::NotThere:
    case OrderOutcome::Unknown:
      known->second.m_repeatAt = aNow + m_settings.m_repeatUnanswered;
      return;
  }
}

} // namespace parsleycove
