// What the leader has ordered and what engines report, put together.
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
  // At the start: plan once no further engine has come for this long, engines
  // announce themselves within a heartbeat of about a second.
  Duration m_settleTime = std::chrono::milliseconds(700);
  Duration m_maxSettleTime = std::chrono::milliseconds(2500);
  // An order that the engine does not report as done is given again. Loading
  // a fifth of a model takes about three seconds, several times that when
  // many load at once.
  Duration m_retryInterval = std::chrono::seconds(20);
  // The same after no answer: the order may still be carried out.
  Duration m_retryAfterNoAnswer = std::chrono::seconds(4);
  Duration m_retryAfterRefusal = std::chrono::milliseconds(1500);
  // An engine that was reported dead and has not announced itself for this
  // long is lost; engines announce themselves every 1.2 s.
  Duration m_unconfirmedFailureDelay = std::chrono::milliseconds(1600);
  // The same for one that does not answer the leader either. Engines that die
  // together are found within about 0.3 s; a plan made before the last one is
  // known would give layers to a dead one.
  Duration m_confirmedFailureDelay = std::chrono::milliseconds(400);
  // Questions without an answer that say so: a single one may be lost.
  int m_silences = 2;
  // From one question to the next.
  Duration m_probeInterval = std::chrono::milliseconds(150);
  // Borders between engines move only once a lost engine has been away for
  // this long: most crashes last 3 to 5 s.
  Duration m_repartitionDelay = std::chrono::milliseconds(5500);
  // How long the others wait for an engine that was given an order; loading a
  // fifth of a model takes about three seconds, and what passes through the
  // layers that it gives up ends within as much.
  Duration m_loadingTimeout = std::chrono::milliseconds(6000);
};

// An order to give now.
struct DueOrder
{
  RunnerPtr m_engine;
  LayerSpan m_span;
};

// Without input or output. Orders are absolute, and an engine keeps the range
// that it was once given, so that an order which is carried out late does no
// harm.
class PlacementTracker
{
public:
  explicit PlacementTracker(PlacementTrackerSettings aSettings = {});

  // A new term as leader: earlier orders are not known.
  void Reset();
  std::vector<DueOrder> CollectDueOrders(
    TimePoint aNow,
    const LayeredModel& aModel,
    const std::vector<RunnerPtr>& aEngines);
  void RecordOrderOutcome(TimePoint aNow,
                          const Runner& aEngine,
                          OrderOutcome aOutcome);
  // Engines that gateways reported dead, to be asked now; each answer goes to
  // RecordProbeResult.
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
    TimePoint m_firstAt{};
  };

  // What speaks against an engine that was reported dead.
  struct Suspicion
  {
    std::uint64_t m_incarnation = 0;
    TimePoint m_suspectedAt{};
    TimePoint m_probedAt{};
    bool m_isProbePending = false;
    // Questions of the leader without an answer, one after another.
    int m_silences = 0;
    bool m_isUnreachable = false;
  };

  // Null: nobody suspects it.
  Suspicion* UpdateSuspicion(TimePoint aNow, const Runner& aEngine);
  bool IsPresumedFailed(TimePoint aNow, const Suspicion& aSuspicion) const;
  bool UpdateSettled(TimePoint aNow, std::size_t aEngines);

  const PlacementTrackerSettings m_settings;
  const LayerLayout m_layout;
  std::map<std::string, Assignment> m_assignments;
  // By the engine's id.
  std::map<std::string, Suspicion> m_suspicions;
  std::size_t m_engineCount = 0;
  TimePoint m_firstAt{};
  TimePoint m_engineCountChangedAt{};
  bool m_hasSettled = false;
};

} // namespace parsleycove
