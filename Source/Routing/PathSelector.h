// The paths through a service's engines, and which one a request takes.
//
// Patterns: a fast chain that carries the daily load and fills up in a burst;
// an engine that falls silent under many streams; engines that return.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Routing/LayerPath.h"
#include "Routing/RerouteShare.h"
#include "Routing/Runner.h"

namespace parsleycove {

struct PathStage
{
  RunnerPtr m_runner;
  LayerSpan m_span;
  // Room for requests beside the layers, in tokens.
  double m_kvCapacityTokens = 0;
};

// A way through all layers.
//
// Invariant: unchanged once built; stages are in order and without gaps.
class StagePath : public boost::intrusive_ref_counter<StagePath>
{
public:
  std::vector<PathStage> m_stages;
  // What one token is expected to take.
  double m_stepMs = 0;
  // What the slowest stage takes to read one token of a prompt, and all stages
  // together.
  double m_prefillMs = 0;
  double m_totalPrefillMs = 0;
  // How often it passes from one availability zone to another.
  std::size_t m_crossings = 0;

  const Runner& First() const { return *m_stages.front().m_runner; }
  bool Uses(const std::string& aRunner) const;
  // Ids of the engines with their layers, for logs.
  std::string Describe() const;
};

using StagePathPtr = boost::intrusive_ptr<const StagePath>;

struct PathRequest
{
  // Prompt and answer together.
  std::uint32_t m_tokens = 0;
  // Gateways that use the same engines; each counts its own work only.
  std::uint32_t m_gateways = 1;
  // Runners that the request was sent to already.
  std::vector<std::string> m_excluded;
  // Empty: every path is allowed.
  std::function<bool(const StagePath&)> m_isAllowed;
  // Of m_tokens, those that are read before the first event.
  std::uint32_t m_promptTokens = 0;
  // Of a stream that begins anew; 0: a new request. The other gateways' streams
  // do so at the same moment, so the seed spreads them.
  std::uint64_t m_restartSeed = 0;
  // Most time between two events; zero: no target.
  Duration m_gapTarget{};
};

// A stream whose path has lost stages.
struct RerouteRequest
{
  // Tokens to be read again by the engines that step in.
  std::uint32_t m_tokens = 0;
  // Engines that have refused to step in.
  std::vector<std::string> m_excluded;
  // Of the request: spreads the streams of all gateways over equal engines.
  std::uint64_t m_seed = 0;
};

// How far a path is filled, with what decided it.
struct PathUtilization
{
  // Of the tightest engine's room for tokens, or of the first one's slots;
  // 1: full.
  double m_fraction = 0;
  // Null: the first engine's slots decide.
  RunnerPtr m_bottleneck;
  // Streams of all gateways through the first engine, as far as known here.
  double m_streams = 0;
  // Until the prompts of all gateways have been read, this one's included, as
  // far as known here.
  double m_prefillBacklogMs = 0;
};

struct PathChoice
{
  // Null: no path through all layers, or none with room.
  StagePathPtr m_path;
  // Paths exist, but every one is full.
  bool m_isFull = false;
  // Of the path that was taken or that came next.
  PathUtilization m_utilization;
};

struct PathSelectorSettings
{
  std::size_t m_paths = 6;
  // Paths whose streams miss the target for pauses are taken where the others
  // are full: an answer in time is worth about twice a late one.
  double m_gapTargetMissCost = 5;
  // A path within the own zone is used up to this fill; then the least filled
  // within any zone; then the least filled of all.
  double m_ownZoneUtilizationLimit = 0.6;
  // The same for the prompts that wait to be read: half of the users' target
  // for the first event.
  double m_ownZoneBacklogLimitMs = 250;
  // Prompts that take so long to read weigh as much as a path's whole room: a
  // stream that begins anew misses its target for pauses after 200 ms, half of
  // which is gone by then.
  double m_prefillBacklogMs = 100;
  // The own zone's path is passed over where another zone's is faster by more
  // than this: an engine on it has slowed down.
  double m_ownZoneSlowdownLimit = 1.6;
  // Part of the room and of the slots that new requests may fill; answers grow
  // beyond their expected length.
  double m_utilizationLimit = 0.95;
  // Paths are planned again this often while circuits may have changed.
  Duration m_replanInterval = std::chrono::milliseconds(200);
  PathCosts m_costs;
};

// Used by one thread.
class PathSelector
{
public:
  explicit PathSelector(std::string aZone = {},
                        PathSelectorSettings aSettings = {});

  // The engines of the service, with the model that they hold in ranges.
  void SetEngines(const LayeredModel& aModel,
                  const std::vector<RunnerPtr>& aEngines);
  // A circuit has changed: the next choice plans anew.
  void Invalidate() { m_plannedAt = TimePoint{}; }

  PathChoice Choose(TimePoint aNow, const PathRequest& aRequest);
  const std::vector<StagePathPtr>& Paths() const { return m_paths; }

  // The path with other engines for its lost stages; sound stages keep their
  // layers, and with them what they hold of the request. Null: the first stage
  // is lost, or some layers have no other engine.
  StagePathPtr Reroute(TimePoint aNow,
                       const StagePath& aFailedPath,
                       const RerouteRequest& aRequest) const;

  // What decides whether a stream takes aRerouted or begins anew.
  RerouteLoad EstimateRerouteLoad(TimePoint aNow,
                                  const StagePath& aFailedPath,
                                  const StagePath& aRerouted,
                                  std::uint32_t aTokens);

private:
  void Plan(TimePoint aNow);
  // Circuit closed, not shunned, and of a kind that the model knows.
  bool IsUsable(TimePoint aNow, const Runner& aRunner) const;
  // As hosts for the layers of aUncovered alone, counted from 0.
  std::vector<PathHost> MakeReplacementHosts(
    TimePoint aNow,
    const LayerSpan& aUncovered,
    const StagePath& aFailedPath,
    const RerouteRequest& aRequest) const;
  StagePathPtr MakePath(TimePoint aNow,
                        const std::vector<PathHost>& aHosts,
                        const std::vector<PathPart>& aParts) const;
  // Step of the fastest path within a zone; 1 where there is none.
  double FastestStepMs(TimePoint aNow, const PathRequest& aRequest) const;
  static bool IsAllowed(TimePoint aNow,
                        const StagePath& aPath,
                        const PathRequest& aRequest);
  // Less is better.
  double Cost(const StagePath& aPath,
              const PathUtilization& aUtilization,
              double aFastestStepMs) const;
  // Its streams miss the target for pauses at every event.
  static bool IsMissingGapTarget(TimePoint aNow,
                                 const StagePath& aPath,
                                 const PathRequest& aRequest);
  // The part of the cost that the other gateways' choices will add.
  double SampleConcurrentCost(TimePoint aNow,
                              const StagePath& aPath,
                              const PathRequest& aRequest) const;
  // Some engine of the path refuses new work.
  static bool IsEjected(TimePoint aNow, const StagePath& aPath);
  // With the request.
  // The work of all gateways through the first engine, as a multiple of this
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
  std::vector<RunnerPtr> m_engines;
  // Fastest first; later ones avoid the engines of earlier ones.
  std::vector<StagePathPtr> m_paths;
  TimePoint m_plannedAt{};
};

// The tokens of a request on every stage of its path, as long as it lives.
class PathReservation
{
public:
  PathReservation() = default;
  // aPendingPrefill: of these, to be read before the first event.
  PathReservation(StagePathPtr aPath,
                  std::uint32_t aTokens,
                  std::uint32_t aPendingPrefill = 0);
  ~PathReservation();
  PathReservation(PathReservation&& aOther) noexcept;
  PathReservation& operator=(PathReservation&& aOther) noexcept;
  PathReservation(const PathReservation&) = delete;
  PathReservation& operator=(const PathReservation&) = delete;

  // The prompt has been read.
  void MarkPrefillDone();

private:
  void Add(std::int32_t aSign) const;

  StagePathPtr m_path;
  std::uint32_t m_tokens = 0;
  std::uint32_t m_pendingPrefill = 0;
};

} // namespace parsleycove
