// What the leader has ordered and what engines report, put together.
#include "Placement/PlacementDesk.h"

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

bool
PlacementDesk::IsLost(TimePoint aNow, const Runner& aEngine)
{
  if (!aEngine.m_isSuspected) {
    m_suspectedAt.erase(aEngine.m_id);
    return false;
  }
  const auto [place, isNew] = m_suspectedAt.emplace(aEngine.m_id, aNow);
  return aNow - place->second >= m_settings.m_lostAfter;
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
    if (IsLost(aNow, *engine)) {
      mayReshape = mayReshape && aNow - m_suspectedAt[engine->m_id] >=
                                   m_settings.m_reshapeAfter;
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
