// Compares the leader's placement orders with the reports of engines.
//
// Handles the start of a fleet, lost orders, engines that crash or restart, and
// changes of leader.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Placement/EngineOrders.h"
#include "Routing/LayerLayout.h"
#include "Routing/RoutingConfig.h"
#include "Routing/Runner.h"

namespace parsleycove {

struct PlacementTrackerSettings
{
  // After a start, the first plan waits until the number of engines has been
  // unchanged for this time. Engines announce themselves within a heartbeat of
  // about a second.
  Duration m_settleTime = std::chrono::milliseconds(700);
  // The first plan is made at the latest this time after the first engine has
  // announced itself.
  Duration m_maxSettleTime = std::chrono::milliseconds(2500);
  // Time until an order that the engine has not reported as carried out is
  // sent again. Loading a fifth of a model takes about three seconds, and
  // several times as long when many engines load at once.
  Duration m_retryInterval = std::chrono::seconds(20);
  // Time until an order is sent again that was not answered or not delivered.
  // An order without an answer may still be carried out.
  Duration m_retryAfterNoAnswer = std::chrono::seconds(4);
  // Time until an order that was refused or fenced is sent again.
  Duration m_retryAfterRefusal = std::chrono::milliseconds(1500);
  // An engine that was reported as failed and has not announced itself for this
  // time is presumed failed. Engines announce themselves every 1.2 s.
  Duration m_unconfirmedFailureDelay = std::chrono::milliseconds(1600);
  // Time until an engine is presumed failed that does not answer the leader's
  // probes either. Engines that crash together are all detected within about
  // 0.3 s; a plan made before the last one is detected would give layers to a
  // failed engine.
  Duration m_confirmedFailureDelay = std::chrono::milliseconds(400);
  // Successive probes without an answer that confirm a failure. A single probe
  // may be lost.
  int m_unansweredProbeLimit = 2;
  // Time from one probe of an engine to the next.
  Duration m_probeInterval = std::chrono::milliseconds(150);
  // The same after an answer.
  Duration m_answeredProbeInterval = std::chrono::milliseconds(600);
  // Layer borders between the remaining engines move only once an engine has
  // been suspected for this time, because most crashes last 3 to 5 s.
  Duration m_repartitionDelay = std::chrono::milliseconds(5500);
  // Time after an order during which the layout counts the engine as loading
  // and moves no layers of the other engines in its zone. Loading a fifth of a
  // model takes about three seconds, and requests that still use the layers
  // which the engine gives up end within about three seconds too.
  Duration m_loadingTimeout = std::chrono::milliseconds(6000);
};

// An order that is to be sent now.
struct DueOrder
{
  RunnerPtr m_engine;
  LayerSpan m_span;
};

// Tracks the engines of one service: their assigned layers, reports and
// suspected failures. Performs no I/O. An order states the whole layer range,
// and an engine keeps the range it was assigned, so an order that is carried
// out late does no harm.
class PlacementTracker
{
public:
  explicit PlacementTracker(PlacementTrackerSettings aSettings = {});

  // Starts a new term as leader and drops the orders of earlier terms.
  void Reset();
  // Returns the orders of a new plan and the earlier orders that are due for a
  // retry. Returns none until the number of engines has settled.
  std::vector<DueOrder> CollectDueOrders(
    TimePoint aNow,
    const LayeredModel& aModel,
    const std::vector<RunnerPtr>& aEngines);
  // Schedules the retry of an order by its outcome. Ignores an outcome for an
  // engine that has restarted since.
  void RecordOrderOutcome(TimePoint aNow,
                          const Runner& aEngine,
                          OrderOutcome aOutcome);
  // Returns the engines that gateways reported as failed and that are to be
  // probed now. The caller passes each result to RecordProbeResult.
  std::vector<RunnerPtr> CollectEnginesToProbe(
    TimePoint aNow,
    const std::vector<RunnerPtr>& aEngines);
  void RecordProbeResult(const Runner& aEngine, EngineProbeResult aResult);

private:
  struct Assignment
  {
    std::uint64_t m_incarnation = 0;
    LayerSpan m_span;
    TimePoint m_retryAt{};
    TimePoint m_orderedAt{};
  };

  // Evidence against an engine that a gateway reported as failed.
  struct Suspicion
  {
    std::uint64_t m_incarnation = 0;
    TimePoint m_suspectedAt{};
    TimePoint m_probedAt{};
    bool m_isProbePending = false;
    // Successive probes of the leader without an answer.
    int m_unansweredProbes = 0;
    bool m_isUnreachable = false;
    // The leader's last probe was answered: what the gateways miss are their
    // own links to the engine.
    bool m_isAnswering = false;
  };

  // Adds, restarts or removes the suspicion against aEngine. Returns nullptr if
  // no gateway suspects the engine.
  Suspicion* UpdateSuspicion(TimePoint aNow, const Runner& aEngine);
  bool IsPresumedFailed(TimePoint aNow, const Suspicion& aSuspicion) const;
  bool UpdateSettled(TimePoint aNow, std::size_t aEngineCount);

  const PlacementTrackerSettings m_settings;
  const LayerLayout m_layout;
  // Both maps are keyed by engine id.
  std::map<std::string, Assignment> m_assignments;
  std::map<std::string, Suspicion> m_suspicions;
  std::size_t m_engineCount = 0;
  TimePoint m_firstEngineAt{};
  TimePoint m_engineCountChangedAt{};
  bool m_hasSettled = false;
};

} // namespace parsleycove
