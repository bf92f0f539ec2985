// Selects a path for each request.
//
// PathPlanning.cxx computes the paths, PathReroute.cxx replaces failed stages.
#include "Routing/PathSelector.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "Routing/EngineCapacity.h"
#include "Routing/Random.h"

namespace parsleycove {

namespace {

// Half-life of reported load. About the duration of a stream: on a VM of a
// large fleet, load reports of an engine arrive only once in a second or two.
constexpr double kStreamSeconds = 3;
// High enough that a path that leaves its zone is chosen only if all others are
// full.
constexpr double kCrossingCost = 10;
// Higher than all other costs together, so that a full path is never chosen.
constexpr double kFullCost = 1e6;
// Estimate for a path that another VM chooses: a decode step on usual engines.
constexpr double kPassedOnStepMs = 10;

} // namespace

StagePathPtr
MakePassedOnPath(RunnerPtr aGateway)
{
  boost::intrusive_ptr<StagePath> path(new StagePath);
  path->m_stages.push_back({ std::move(aGateway), {}, 0 });
  path->m_stepMs = kPassedOnStepMs;
  return path;
}

bool
StagePath::Uses(const std::string& aRunner) const
{
  return std::any_of(
    m_stages.begin(), m_stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_id == aRunner;
    });
}

std::string
StagePath::Describe() const
{
  std::string text;
  for (const PathStage& stage : m_stages) {
    text.append(text.empty() ? "" : " ")
      .append(stage.m_runner->m_id)
      .append("=")
      .append(std::to_string(stage.m_span.m_first))
      .append("-")
      .append(std::to_string(stage.m_span.m_end));
  }
  return text;
}

PathSelector::PathSelector(std::string aZone, PathSelectorSettings aSettings)
  : m_zone(std::move(aZone))
  , m_settings(aSettings)
  , m_promptSpread(aSettings.m_promptSpread)
{
}

void
PathSelector::SetEngines(const LayeredModel& aModel,
                         const std::vector<RunnerPtr>& aEngines)
{
  m_model = aModel;
  m_promptSpread.SetModel(aModel);
  m_engines = aEngines;
  m_zones.clear();
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    m_zones[m_engines[i]->m_zoneIndex].push_back(i);
  }
  Invalidate();
}

bool
PathSelector::HasUnavailableEngine(TimePoint aNow, const StagePath& aPath)
{
  return std::any_of(
    aPath.m_stages.begin(), aPath.m_stages.end(), [&](const PathStage& aStage) {
      const RunnerLoad& load = *aStage.m_runner->m_load;
      return load.IsEjected(aNow) || !load.Notice().TakesNewWork(aNow);
    });
}

double
PathSelector::FleetLoadFactor(TimePoint aNow,
                              const StagePath& aPath,
                              std::uint32_t aGateways)
{
  const RunnerLoad& first = *aPath.First().m_load;
  return std::clamp(first.EstimateStreams(aNow, kStreamSeconds) /
                      std::max(1, first.Streams()),
                    1.0,
                    2.0 * std::max(1U, aGateways));
}

PathUtilization
PathSelector::ComputeUtilization(TimePoint aNow,
                                 const StagePath& aPath,
                                 const PathRequest& aRequest)
{
  // The first engine reports how many requests it has from all gateways.
  const RunnerLoad& first = *aPath.First().m_load;
  const double streams = first.EstimateStreams(aNow, kStreamSeconds);
  const double loadFactor = FleetLoadFactor(aNow, aPath, aRequest.m_gateways);
  const double slots =
    std::max(1.0, static_cast<double>(aPath.First().m_slots));
  const double pendingPrefill =
    first.PendingPrefillTokens() * loadFactor + aRequest.m_promptTokens;
  PathUtilization utilization{
    (streams + 1) / slots, nullptr, streams, pendingPrefill * aPath.m_prefillMs
  };
  for (const PathStage& stage : aPath.m_stages) {
    const double reserved =
      stage.m_runner->m_load->ReservedTokens() * loadFactor + aRequest.m_tokens;
    const double fraction = reserved / std::max(1.0, stage.m_kvCapacityTokens);
    if (fraction > utilization.m_fraction) {
      utilization.m_fraction = fraction;
      utilization.m_bottleneck = stage.m_runner;
    }
  }
  return utilization;
}

bool
HasQuota(TimePoint aNow, const StagePath& aPath)
{
  return std::all_of(
    aPath.m_stages.begin(), aPath.m_stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_load->Quota().MayTake(aNow);
    });
}

void
RecordDemand(TimePoint aNow, const StagePath& aPath)
{
  for (const PathStage& stage : aPath.m_stages) {
    stage.m_runner->m_load->Quota().RecordDemand(aNow);
  }
}

PathChoice
PathSelector::Choose(TimePoint aNow, const PathRequest& aRequest)
{
  if (aNow - m_plannedAt >= m_settings.m_replanInterval) {
    Plan(aNow);
  }
  PathChoice wanted = ChooseAmong(aNow, aRequest, QuotaRule::Ignore);
  if (!wanted.m_path) {
    return wanted;
  }
  if (aRequest.m_countsDemand) {
    RecordDemand(aNow, *wanted.m_path);
  }
  if (HasQuota(aNow, *wanted.m_path)) {
    return wanted;
  }
  PathChoice choice = ChooseAmong(aNow, aRequest, QuotaRule::Respect);
  if (choice.m_path) {
    if (aRequest.m_countsDemand) {
      RecordDemand(aNow, *choice.m_path);
    }
    return choice;
  }
  // A path that is full or refuses for a moment may serve the request sooner
  // than a limit.
  choice.m_isFull =
    std::any_of(m_paths.begin(), m_paths.end(), [&](const StagePathPtr& aPath) {
      return HasQuota(aNow, *aPath);
    });
  choice.m_isLimited = !choice.m_isFull;
  choice.m_availableAt =
    choice.m_isLimited ? NextQuotaAt(aNow, aRequest) : TimePoint{};
  return choice;
}

TimePoint
PathSelector::NextQuotaAt(TimePoint aNow, const PathRequest& aRequest) const
{
  TimePoint first = aNow + RequestQuota::kMaxWait;
  for (const StagePathPtr& path : m_paths) {
    if (!IsAllowed(aNow, *path, aRequest)) {
      continue;
    }
    TimePoint next = aNow;
    for (const PathStage& stage : path->m_stages) {
      next = std::max(next, stage.m_runner->m_load->Quota().NextAt(aNow));
    }
    first = std::min(first, next);
  }
  return first;
}

PathChoice
PathSelector::ChooseAmong(TimePoint aNow,
                          const PathRequest& aRequest,
                          QuotaRule aRule)
{
  const double fastest = FastestStepMs(aNow, aRequest);
  const bool isSpread = IsSpread(aRequest);
  const double utilizationLimit =
    m_settings.m_utilizationLimit * (1 - aRequest.m_reservedShare);
  StagePathPtr best;
  PathUtilization bestUtilization;
  double least = 0;
  m_preferred.clear();
  for (const StagePathPtr& path : m_paths) {
    if (!IsAllowed(aNow, *path, aRequest) ||
        (aRule == QuotaRule::Respect && !HasQuota(aNow, *path))) {
      continue;
    }
    const PathUtilization utilization =
      ComputeUtilization(aNow, *path, aRequest);
    const bool missesGapTarget = IsMissingGapTarget(aNow, *path, aRequest);
    if (aRequest.m_restartSeed == 0 && !missesGapTarget &&
        IsPreferred(*path,
                    utilization,
                    isSpread ? path->m_slowdown : path->m_stepMs / fastest)) {
      m_preferred.push_back(
        { path,
          utilization,
          WeightFactor(aNow, *path, utilization, aRequest) });
    }
    const bool isReserved =
      utilization.m_fraction > utilizationLimit &&
      utilization.m_fraction <= m_settings.m_utilizationLimit;
    const double cost = Cost(*path, utilization, fastest) +
                        SampleConcurrentCost(aNow, *path, aRequest) +
                        (missesGapTarget ? m_settings.m_gapTargetMissCost : 0) +
                        (isReserved ? kFullCost : 0);
    if (!best || cost < least) {
      best = path;
      bestUtilization = utilization;
      least = cost;
    }
  }
  if (const PathOption* option = ChoosePreferred(aRequest)) {
    return { option->m_path, false, false, {}, option->m_utilization };
  }
  const bool isFull = best && bestUtilization.m_fraction > utilizationLimit;
  const bool hasPath = best && !isFull;
  return { hasPath ? best : nullptr,
           isFull,
           false,
           hasPath ? TimePoint{} : FirstPauseEnd(aNow),
           bestUtilization };
}

bool
PathSelector::IsPreferred(const StagePath& aPath,
                          const PathUtilization& aUtilization,
                          double aSlowdown) const
{
  return aPath.m_crossings == 0 && aPath.First().m_zone == m_zone &&
         aUtilization.m_fraction <= m_settings.m_ownZoneUtilizationLimit &&
         aUtilization.m_prefillBacklogMs <=
           m_settings.m_ownZoneBacklogLimitMs &&
         aSlowdown <= m_settings.m_ownZoneSlowdownLimit;
}

bool
PathSelector::IsSpread(const PathRequest& aRequest) const
{
  return m_promptSpread.IsActive() ||
         aRequest.m_gateways >= m_settings.m_spreadGateways ||
         m_ownZonePaths >= m_settings.m_spreadPaths;
}

double
PathSelector::WeightFactor(TimePoint aNow,
                           const StagePath& aPath,
                           const PathUtilization& aUtilization,
                           const PathRequest& aRequest) const
{
  if (!m_promptSpread.IsActive()) {
    return 1;
  }
  const double backlog = aPath.First().m_load->PendingPrefillTokens() *
                         FleetLoadFactor(aNow, aPath, aRequest.m_gateways);
  return m_promptSpread.WeightFactor(aPath.m_prefillCost,
                                     { backlog, aUtilization.m_streams },
                                     aRequest.m_promptTokens);
}

const PathOption*
PathSelector::ChoosePreferred(const PathRequest& aRequest) const
{
  if (m_preferred.empty()) {
    return nullptr;
  }
  if (!IsSpread(aRequest)) {
    return &m_preferred.front();
  }
  // Streams a second that the path can carry besides those that it has.
  const auto weigh = [](const PathOption& aOption) {
    const StagePath& path = *aOption.m_path;
    return path.m_kvCapacityTokens * path.m_unsharedFraction *
           (1 - aOption.m_utilization.m_fraction) / path.m_stepMs *
           aOption.m_weightFactor;
  };
  double sum = 0;
  for (const PathOption& option : m_preferred) {
    sum += weigh(option);
  }
  double rest = aRequest.m_draw * sum;
  for (const PathOption& option : m_preferred) {
    rest -= weigh(option);
    if (rest < 0) {
      return &option;
    }
  }
  return &m_preferred.back();
}

TimePoint
PathSelector::FirstPauseEnd(TimePoint aNow) const
{
  TimePoint first{};
  for (const RunnerPtr& engine : m_engines) {
    const EndpointNotice& notice = engine->m_load->Notice();
    if (!notice.IsLeaving() && notice.IsPaused(aNow) &&
        (first == TimePoint{} || notice.PausedUntil() < first)) {
      first = notice.PausedUntil();
    }
  }
  return first;
}

double
PathSelector::Cost(const StagePath& aPath,
                   const PathUtilization& aUtilization,
                   double aFastestStepMs) const
{
  // A stream occupies a slow path longer, so the same utilization costs more
  // there.
  double cost =
    aUtilization.m_fraction * aPath.m_stepMs / aFastestStepMs +
    aUtilization.m_prefillBacklogMs / m_settings.m_prefillBacklogScaleMs;
  if (aPath.m_crossings != 0) {
    cost += kCrossingCost;
  }
  if (aUtilization.m_fraction > m_settings.m_utilizationLimit) {
    cost += kFullCost;
  }
  return cost;
}

bool
PathSelector::IsMissingGapTarget(TimePoint aNow,
                                 const StagePath& aPath,
                                 const PathRequest& aRequest)
{
  return aRequest.m_gapTarget != Duration::zero() &&
         aPath.First().m_load->EventGap(aNow) > aRequest.m_gapTarget;
}

double
PathSelector::SampleConcurrentCost(TimePoint aNow,
                                   const StagePath& aPath,
                                   const PathRequest& aRequest) const
{
  if (aRequest.m_restartSeed == 0) {
    return 0;
  }
  const double otherLoad =
    FleetLoadFactor(aNow, aPath, aRequest.m_gateways) - 1;
  Random draw(aPath.First().m_idHash ^ aRequest.m_restartSeed);
  return draw.Fraction() * otherLoad * aRequest.m_promptTokens *
         aPath.m_prefillMs / m_settings.m_prefillBacklogScaleMs;
}

RerouteLoad
PathSelector::EstimateRerouteLoad(TimePoint aNow,
                                  const StagePath& aFailedPath,
                                  const StagePath& aRerouted,
                                  std::uint32_t aTokens)
{
  if (aNow - m_plannedAt >= m_settings.m_replanInterval) {
    Plan(aNow);
  }
  RerouteLoad load;
  load.m_streams =
    aFailedPath.First().m_load->EstimateStreams(aNow, kStreamSeconds);
  for (const PathStage& stage : aRerouted.m_stages) {
    if (!aFailedPath.Uses(stage.m_runner->m_id)) {
      const double prefillMs =
        PrefillMs(m_model, stage.m_span, *stage.m_runner, aNow);
      load.m_replacementPrefillMs =
        std::max(load.m_replacementPrefillMs, aTokens * prefillMs);
    }
  }
  std::set<std::string_view> firsts;
  for (const StagePathPtr& path : m_paths) {
    const bool isOther = path->m_crossings == 0 &&
                         !HasUnavailableEngine(aNow, *path) &&
                         path->First().m_id != aFailedPath.First().m_id;
    if (isOther && firsts.insert(path->First().m_id).second) {
      load.m_restartPrefillMs =
        std::max(load.m_restartPrefillMs, aTokens * path->m_prefillMs);
      load.m_pathPrefillMs =
        std::max(load.m_pathPrefillMs, aTokens * path->m_totalPrefillMs);
    }
  }
  load.m_paths = firsts.size();
  return load;
}

double
PathSelector::FastestStepMs(TimePoint aNow, const PathRequest& aRequest) const
{
  double fastest = 0;
  for (const StagePathPtr& path : m_paths) {
    const bool counts =
      path->m_crossings == 0 && IsAllowed(aNow, *path, aRequest);
    if (counts && (fastest == 0 || path->m_stepMs < fastest)) {
      fastest = path->m_stepMs;
    }
  }
  constexpr double kAnyStepMs = 1;
  return fastest > 0 ? fastest : kAnyStepMs;
}

bool
PathSelector::IsAllowed(TimePoint aNow,
                        const StagePath& aPath,
                        const PathRequest& aRequest)
{
  const bool isExcluded =
    std::any_of(aRequest.m_excluded.begin(),
                aRequest.m_excluded.end(),
                [&](const std::string& aId) { return aPath.Uses(aId); });
  return !isExcluded && !HasUnavailableEngine(aNow, aPath) &&
         (!aRequest.m_isAllowed || aRequest.m_isAllowed(aPath));
}

PathReservation::PathReservation(StagePathPtr aPath,
                                 std::uint32_t aTokens,
                                 std::uint32_t aPendingPrefill)
  : m_path(std::move(aPath))
  , m_tokens(aTokens)
  , m_pendingPrefill(aPendingPrefill)
{
  Add(1);
}

PathReservation::~PathReservation()
{
  Add(-1);
}

PathReservation::PathReservation(PathReservation&& aOther) noexcept
  : m_path(std::move(aOther.m_path))
  , m_tokens(aOther.m_tokens)
  , m_pendingPrefill(aOther.m_pendingPrefill)
{
  aOther.m_path = nullptr;
}

PathReservation&
PathReservation::operator=(PathReservation&& aOther) noexcept
{
  if (this != &aOther) {
    Add(-1);
    m_path = std::move(aOther.m_path);
    m_tokens = aOther.m_tokens;
    m_pendingPrefill = aOther.m_pendingPrefill;
    aOther.m_path = nullptr;
  }
  return *this;
}

void
PathReservation::MarkPrefillDone()
{
  if (m_path && m_pendingPrefill != 0) {
    m_path->First().m_load->AddPendingPrefill(
      -static_cast<std::int32_t>(m_pendingPrefill));
    m_pendingPrefill = 0;
  }
}

void
PathReservation::Add(std::int32_t aSign) const
{
  if (!m_path) {
    return;
  }
  m_path->First().m_load->AddPendingPrefill(
    aSign * static_cast<std::int32_t>(m_pendingPrefill));
  for (const PathStage& stage : m_path->m_stages) {
    stage.m_runner->m_load->ReserveTokens(aSign *
                                          static_cast<std::int32_t>(m_tokens));
  }
}

} // namespace parsleycove
