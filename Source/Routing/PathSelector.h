// Computes paths through a service's engines and selects one for each request.
//
// Load and fault patterns: a fast chain that carries the daily load and fills
// up in a burst; an engine that becomes unresponsive while it carries many
// streams; engines that return after a failure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Routing/LayerPath.h"
#include "Routing/PromptSpread.h"
#include "Routing/RerouteShare.h"
#include "Routing/Runner.h"

namespace parsleycove {

struct PathStage
{
  RunnerPtr m_runner;
  LayerSpan m_span;
  // KV cache capacity that the layers leave for requests, in tokens.
  double m_kvCapacityTokens = 0;
};

// A path through all layers of the model.
//
// Invariant: unchanged once built; the stages are in layer order and leave no
// layer uncovered.
class StagePath : public boost::intrusive_ref_counter<StagePath>
{
public:
  std::vector<PathStage> m_stages;
  // Expected time of one decode step over the whole path.
  double m_stepMs = 0;
  // Time to prefill one prompt token: on the slowest stage, and summed over all
  // stages.
  double m_prefillMs = 0;
  double m_totalPrefillMs = 0;
  PrefillCost m_prefillCost;
  // Number of hops from one availability zone to another.
  std::size_t m_crossings = 0;
  // KV cache capacity of the stage with the least, in tokens.
  double m_kvCapacityTokens = 0;
  // m_stepMs as a multiple of the time that the engines take when none of them
  // has slowed down.
  double m_slowdown = 1;
  // Part of the stages that no path planned before uses.
  double m_unsharedFraction = 1;

  const Runner& First() const { return *m_stages.front().m_runner; }
  // Returns true if another VM takes the request over and chooses the engines.
  bool IsPassedOn() const { return First().m_isGateway; }
  bool Uses(const std::string& aRunner) const;
  // Returns the ids of the engines with their layers, for logs.
  std::string Describe() const;
};

using StagePathPtr = boost::intrusive_ptr<const StagePath>;

// Returns the path of a request that aGateway takes over.
StagePathPtr
MakePassedOnPath(RunnerPtr aGateway);

struct PathRequest
{
  // Tokens of the prompt and the expected answer together.
  std::uint32_t m_tokens = 0;
  // Gateways that use the same engines; each gateway counts only its own work.
  std::uint32_t m_gateways = 1;
  // Ids of runners that the request was already sent to.
  std::vector<std::string> m_excluded;
  // If empty, every path is allowed.
  std::function<bool(const StagePath&)> m_isAllowed;
  // The part of m_tokens that is prefilled before the first event.
  std::uint32_t m_promptTokens = 0;
  // Seed of a stream that restarts on another path; 0 for a new request. The
  // streams of the other gateways restart at the same moment, so the seed
  // spreads them over the paths.
  std::uint64_t m_restartSeed = 0;
  // Random number in [0, 1) that spreads the requests of a large fleet over the
  // paths within this VM's zone.
  double m_draw = 0;
  // Event gap target: the longest time between two events; zero if there is no
  // target.
  Duration m_gapTarget{};
  // Counts this request as demand for the engines that have named a limit. Each
  // attempt is counted once, however often it looks for a path.
  bool m_countsDemand = false;
  // Part of the paths' room, from 0 to 1, that this request leaves to more
  // urgent ones: it lowers the utilization up to which it takes a path.
  double m_reservedShare = 0;
};

// Asks for replacements of the failed stages of a stream's path.
struct RerouteRequest
{
  // Tokens that the replacement engines have to prefill again.
  std::uint32_t m_tokens = 0;
  // Ids of engines to avoid: engines that refused to act as a replacement, and
  // stages to replace although their circuit is closed.
  std::vector<std::string> m_excluded;
  // Derived from the request; spreads the streams of all gateways over equally
  // suitable engines.
  std::uint64_t m_seed = 0;
};

// Utilization of a path, with the resource that determines it.
struct PathUtilization
{
  // Used fraction of the bottleneck engine's KV cache capacity, or of the first
  // engine's slots; 1 means full.
  double m_fraction = 0;
  // The engine with the highest KV cache utilization; nullptr if the first
  // engine's slots are the bottleneck.
  RunnerPtr m_bottleneck;
  // Streams of all gateways through the first engine, as far as this process
  // knows.
  double m_streams = 0;
  // Time until the pending prompts of all gateways and this request's prompt
  // are prefilled, as far as this process knows.
  double m_prefillBacklogMs = 0;
};

struct PathChoice
{
  // nullptr if no allowed path covers all layers or every path is full.
  StagePathPtr m_path;
  // True if paths exist that limits allow, but all of them are full or refuse
  // work for a moment.
  bool m_isFull = false;
  // True if the limits that engines have named forbid every path now.
  bool m_isLimited = false;
  // Without a path: the first end of the pauses that engines asked for, or with
  // m_isLimited the time of the next request that a limit allows, or the
  // clock's epoch.
  TimePoint m_availableAt{};
  // Utilization of the chosen path, or of the cheapest one if every path is
  // full.
  PathUtilization m_utilization;
};

// A path with its utilization, while a request chooses.
struct PathOption
{
  StagePathPtr m_path;
  PathUtilization m_utilization;
  // Factor on the path's weight in a draw.
  double m_weightFactor = 1;
};

struct PathSelectorSettings
{
  // Paths that use one zone's engines only, for each zone. They are found
  // first: a search among the engines of one zone costs a small part of a
  // search among all engines of a large fleet.
  std::size_t m_pathsPerZone = 8;
  // Paths through any engines are added up to this number of paths.
  std::size_t m_paths = 6;
  // Cost of a path whose streams miss the event gap target. Such a path is
  // chosen when the others are full: an answer in time is worth about twice a
  // late one.
  double m_gapTargetMissCost = 5;
  // A path within this VM's zone is used up to this utilization; above it, the
  // least utilized path within any single zone, then the least utilized path of
  // all.
  double m_ownZoneUtilizationLimit = 0.6;
  // Largest prefill backlog at which a path within this VM's zone is still
  // preferred: half of the users' target for the first event.
  double m_ownZoneBacklogLimitMs = 250;
  // Prefill backlog that costs as much as a fully utilized KV cache. A stream
  // that restarts misses its event gap target after 200 ms, and half of that
  // time has passed by then.
  double m_prefillBacklogScaleMs = 100;
  // The path within this VM's zone is not preferred if its decode step takes
  // more than this many times that of the fastest path: one of its engines has
  // slowed down.
  double m_ownZoneSlowdownLimit = 1.6;
  // From this number of gateways on, a gateway has so few streams of its own
  // that it cannot know the load of the paths: when all gateways start again,
  // their fastest path would be full before the first answers show it. Requests
  // are then drawn in proportion to what the paths of the zone can carry, and
  // m_ownZoneSlowdownLimit compares a path with its own usual speed.
  std::uint32_t m_spreadGateways = 32;
  // The same holds from this number of paths in the own zone on that share no
  // engine: a gateway that has just started does not know yet how many others
  // there are.
  std::size_t m_spreadPaths = 3;
  // Fraction of the KV cache capacity and of the slots that new requests may
  // use; answers can grow beyond their expected length.
  double m_utilizationLimit = 0.95;
  // Paths are computed again at this interval, because circuits may have
  // changed.
  Duration m_replanInterval = std::chrono::milliseconds(200);
  PathCosts m_costs;
  // Acts where the routes of the service have different aims.
  PromptSpreadSettings m_promptSpread;
};

// Not thread-safe; used by one thread.
class PathSelector
{
public:
  explicit PathSelector(std::string aZone = {},
                        PathSelectorSettings aSettings = {});

  // Sets the engines of the service and the model whose layers they hold.
  void SetEngines(const LayeredModel& aModel,
                  const std::vector<RunnerPtr>& aEngines);
  // Sets the aims of the service's streams. Where its routes differ, requests
  // are drawn by the expected first event, too.
  void SetAims(const ServiceAims& aAims) { m_promptSpread.SetAims(aAims); }
  // Makes the next choice compute the paths again, for example after a circuit
  // has changed.
  void Invalidate() { m_plannedAt = TimePoint{}; }

  // Chooses among the paths whose engines may get one more request, as far as
  // they have named limits.
  PathChoice Choose(TimePoint aNow, const PathRequest& aRequest);
  const std::vector<StagePathPtr>& Paths() const { return m_paths; }

  // Returns the path with its failed stages replaced by other engines. Healthy
  // stages keep their layers, and so the KV cache of the request. Returns
  // nullptr if the first stage has failed, if no engine can replace some
  // layers, or if the new path would have too many stages.
  StagePathPtr Reroute(TimePoint aNow,
                       const StagePath& aFailedPath,
                       const RerouteRequest& aRequest) const;

  // Returns the estimates that decide whether a stream continues on aRerouted
  // or restarts on another path.
  RerouteLoad EstimateRerouteLoad(TimePoint aNow,
                                  const StagePath& aFailedPath,
                                  const StagePath& aRerouted,
                                  std::uint32_t aTokens);

private:
  // Whether paths without a quota count.
  enum class QuotaRule
  {
    Ignore,
    Respect,
  };

  PathChoice ChooseAmong(TimePoint aNow,
                         const PathRequest& aRequest,
                         QuotaRule aRule);
  // Returns when the first allowed path may get one more request.
  TimePoint NextQuotaAt(TimePoint aNow, const PathRequest& aRequest) const;
  void Plan(TimePoint aNow);
  // Adds paths through the zone's engines until every engine that can be used
  // has been used once. aMembers: indices into aHosts.
  void PlanZone(TimePoint aNow,
                const std::vector<std::size_t>& aMembers,
                std::vector<PathHost>& aHosts);
  // Adds a path and makes its engines more expensive for the next ones.
  void AddPath(TimePoint aNow,
               std::vector<PathHost>& aHosts,
               const std::vector<PathPart>& aParts);
  // Returns true if the circuit is closed, the engine takes new work, and the
  // model lists its accelerator kind.
  bool IsUsable(TimePoint aNow, const Runner& aRunner) const;
  // Returns the engines as hosts for the layers of aUncovered only, counted
  // from 0.
  std::vector<PathHost> MakeReplacementHosts(
    TimePoint aNow,
    const LayerSpan& aUncovered,
    const StagePath& aFailedPath,
    const RerouteRequest& aRequest) const;
  StagePathPtr MakePath(TimePoint aNow,
                        const std::vector<PathHost>& aHosts,
                        const std::vector<PathPart>& aParts) const;
  // Returns true if a new request takes this path within the VM's own zone
  // without regard to the other zones.
  bool IsPreferred(const StagePath& aPath,
                   const PathUtilization& aUtilization,
                   double aSlowdown) const;
  // Returns true if requests are drawn: this gateway cannot know the load of
  // the paths, or the service's streams have different aims.
  bool IsSpread(const PathRequest& aRequest) const;
  // Returns how the expected first event changes the path's weight in a draw.
  double WeightFactor(TimePoint aNow,
                      const StagePath& aPath,
                      const PathUtilization& aUtilization,
                      const PathRequest& aRequest) const;
  // Returns one of m_preferred, or nullptr if there is none: one drawn if
  // IsSpread(), the first one otherwise.
  const PathOption* ChoosePreferred(const PathRequest& aRequest) const;
  // Returns the decode step time, in ms, of the fastest path within a single
  // zone, or 1 if there is no such path.
  double FastestStepMs(TimePoint aNow, const PathRequest& aRequest) const;
  static bool IsAllowed(TimePoint aNow,
                        const StagePath& aPath,
                        const PathRequest& aRequest);
  // Returns the first end of the engines' pauses, or the clock's epoch.
  TimePoint FirstPauseEnd(TimePoint aNow) const;
  // Returns the cost of the path; lower is better.
  double Cost(const StagePath& aPath,
              const PathUtilization& aUtilization,
              double aFastestStepMs) const;
  // Returns true if the usual event gap of the path's streams exceeds the
  // request's event gap target.
  static bool IsMissingGapTarget(TimePoint aNow,
                                 const StagePath& aPath,
                                 const PathRequest& aRequest);
  // Returns a random part of the cost that the choices of the other gateways
  // will add.
  double SampleConcurrentCost(TimePoint aNow,
                              const StagePath& aPath,
                              const PathRequest& aRequest) const;
  // Returns true if an engine of the path refuses new work or wants none.
  static bool HasUnavailableEngine(TimePoint aNow, const StagePath& aPath);
  // Returns the load of all gateways on the first engine as a multiple of this
  // gateway's own; at least 1.
  static double FleetLoadFactor(TimePoint aNow,
                                const StagePath& aPath,
                                std::uint32_t aGateways);
  static PathUtilization ComputeUtilization(TimePoint aNow,
                                            const StagePath& aPath,
                                            const PathRequest& aRequest);

  const std::string m_zone;
  const PathSelectorSettings m_settings;
  LayeredModel m_model;
  PromptSpread m_promptSpread;
  std::vector<RunnerPtr> m_engines;
  // Number of paths within this VM's zone that share no engine.
  std::size_t m_ownZonePaths = 0;
  // Indices into m_engines by zone.
  std::map<std::uint32_t, std::vector<std::size_t>> m_zones;
  // By zone, fastest first; later paths avoid the engines of earlier ones.
  std::vector<StagePathPtr> m_paths;
  TimePoint m_plannedAt{};
  // Paths in this VM's zone that the present request may take; reused between
  // calls to save allocations.
  std::vector<PathOption> m_preferred;
};

// Returns true if the limits of the path's engines allow one more request now.
bool
HasQuota(TimePoint aNow, const StagePath& aPath);
// Records that a request would take the path if no engine had named a limit.
void
RecordDemand(TimePoint aNow, const StagePath& aPath);

// Reserves the tokens of a request on every stage of its path until it is
// destroyed.
class PathReservation
{
public:
  PathReservation() = default;
  // aPendingPrefill: the part of aTokens that is prefilled before the first
  // event.
  PathReservation(StagePathPtr aPath,
                  std::uint32_t aTokens,
                  std::uint32_t aPendingPrefill = 0);
  ~PathReservation();
  PathReservation(PathReservation&& aOther) noexcept;
  PathReservation& operator=(PathReservation&& aOther) noexcept;
  PathReservation(const PathReservation&) = delete;
  PathReservation& operator=(const PathReservation&) = delete;

  // Removes the prompt from the first engine's pending prefill.
  void MarkPrefillDone();

private:
  void Add(std::int32_t aSign) const;

  StagePathPtr m_path;
  std::uint32_t m_tokens = 0;
  std::uint32_t m_pendingPrefill = 0;
};

} // namespace parsleycove
