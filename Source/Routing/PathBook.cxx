// The paths through a service's engines, and which one a request takes.
#include "Routing/PathBook.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

namespace {

// An engine of an earlier path costs this much more in the next one.
constexpr double kReusePenalty = 8;
constexpr double kBytesPerMb = 1e6;
// About as long as a stream lasts: a VM of a large fleet hears of an engine's
// load once in a second or two.
constexpr double kStreamSeconds = 3;
// A path that leaves its zone is taken only where no other one has room.
constexpr double kCrossingCost = 10;

double
TokenRoom(const LayeredModel& aModel, const Runner& aRunner)
{
  const AcceleratorKind* kind = aModel.FindKind(aRunner.m_accelerator);
  if (kind == nullptr || aRunner.m_layerCount == 0 || aModel.m_layers == 0) {
    return 0;
  }
  const double free =
    kind->m_memoryMb - aModel.m_layerMb * aRunner.m_layerCount;
  const double perToken =
    aModel.m_tokenBytes / aModel.m_layers * aRunner.m_layerCount / kBytesPerMb;
  return perToken > 0 ? std::max(0.0, free / perToken) : 0;
}

} // namespace

bool
StagePath::Uses(const std::string& aRunner) const
{
  return std::any_of(
    m_stages.begin(), m_stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_id == aRunner;
    });
}

PathBook::PathBook(std::string aZone, PathBookSettings aSettings)
  : m_zone(std::move(aZone))
  , m_settings(aSettings)
{
}

void
PathBook::SetEngines(const LayeredModel& aModel,
                     const std::vector<RunnerPtr>& aEngines)
{
  m_model = aModel;
  m_engines = aEngines;
  Invalidate();
}

StagePathPtr
PathBook::MakePath(const std::vector<PathHost>& aHosts,
                   const std::vector<PathPart>& aParts) const
{
  boost::intrusive_ptr<StagePath> path(new StagePath());
  for (const PathPart& part : aParts) {
    const RunnerPtr& runner = m_engines[part.m_host];
    const bool crosses =
      !path->m_stages.empty() &&
      path->m_stages.back().m_runner->m_zone != runner->m_zone;
    path->m_crossings += crosses ? 1 : 0;
    path->m_stages.push_back(
      { runner, part.m_span, TokenRoom(m_model, *runner) });
  }
  path->m_stepMs =
    EstimateStepMs(m_model.m_layers, aHosts, aParts, m_settings.m_costs);
  return path;
}

void
PathBook::Plan(TimePoint aNow)
{
  m_plannedAt = aNow;
  m_paths.clear();
  std::vector<PathHost> hosts;
  for (const RunnerPtr& runner : m_engines) {
    const AcceleratorKind* kind = m_model.FindKind(runner->m_accelerator);
    PathHost host;
    host.m_holds = { runner->m_firstLayer,
                     runner->m_firstLayer + runner->m_layerCount };
    host.m_zone = runner->m_zoneIndex;
    const double pace = kind == nullptr ? 1 : kind->m_stepPace;
    host.m_stepMs =
      m_model.m_stepMs * pace * std::max(1.0, runner->m_load->Slowness(aNow));
    const bool isUsable = kind != nullptr && runner->m_layerCount != 0 &&
                          !runner->m_load->IsShunned(aNow) &&
                          runner->m_load->Circuit(aNow) == CircuitState::Ok;
    host.m_penalty = isUsable ? 1 : 0;
    hosts.push_back(host);
  }
  const std::size_t most = m_settings.m_paths;
  for (std::size_t i = 0; i < most; ++i) {
    const auto parts =
      FindLayerPath(m_model.m_layers, hosts, m_settings.m_costs);
    if (parts.empty()) {
      break;
    }
    m_paths.push_back(MakePath(hosts, parts));
    for (const PathPart& part : parts) {
      hosts[part.m_host].m_penalty *= kReusePenalty;
    }
  }
}

bool
PathBook::IsShunned(TimePoint aNow, const StagePath& aPath)
{
  return std::any_of(
    aPath.m_stages.begin(), aPath.m_stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_load->IsShunned(aNow);
    });
}

double
PathBook::Fill(TimePoint aNow,
               const StagePath& aPath,
               const PathRequest& aRequest)
{
  // The first engine tells how many requests it has of all gateways.
  const RunnerLoad& first = *aPath.First().m_load;
  const double streams = first.EstimateStreams(aNow, kStreamSeconds);
  const double share = std::clamp(streams / std::max(1, first.Streams()),
                                  1.0,
                                  2.0 * std::max(1U, aRequest.m_gateways));
  double fill =
    (streams + 1) / std::max(1.0, static_cast<double>(aPath.First().m_slots));
  for (const PathStage& stage : aPath.m_stages) {
    const double held =
      stage.m_runner->m_load->HeldTokens() * share + aRequest.m_tokens;
    fill = std::max(fill, held / std::max(1.0, stage.m_tokenRoom));
  }
  return fill;
}

PathChoice
PathBook::Choose(TimePoint aNow, const PathRequest& aRequest)
{
  if (aNow - m_plannedAt >= m_settings.m_refresh) {
    Plan(aNow);
  }
  const double fastest = FastestStepMs(aNow, aRequest);
  StagePathPtr best;
  double least = 0;
  for (const StagePathPtr& path : m_paths) {
    if (!IsAllowed(aNow, *path, aRequest)) {
      continue;
    }
    const double fill = Fill(aNow, *path, aRequest);
    const double slowness = path->m_stepMs / fastest;
    const bool isLocal = path->m_crossings == 0;
    if (isLocal && path->First().m_zone == m_zone &&
        fill <= m_settings.m_ownZoneFill &&
        slowness <= m_settings.m_ownZoneSlowness) {
      return { path, false };
    }
    // A stream stays longer on a slow path, so the same fill is worth less.
    const double cost =
      fill * slowness +
      (isLocal || fill > m_settings.m_fillLimit ? 0 : kCrossingCost);
    if (!best || cost < least) {
      best = path;
      least = cost;
    }
  }
  const bool isFull =
    best && Fill(aNow, *best, aRequest) > m_settings.m_fillLimit;
  return isFull ? PathChoice{ nullptr, true } : PathChoice{ best, false };
}

double
PathBook::FastestStepMs(TimePoint aNow, const PathRequest& aRequest) const
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
PathBook::IsAllowed(TimePoint aNow,
                    const StagePath& aPath,
                    const PathRequest& aRequest)
{
  const bool isExcluded =
    std::any_of(aRequest.m_excluded.begin(),
                aRequest.m_excluded.end(),
                [&](const std::string& aId) { return aPath.Uses(aId); });
  return !isExcluded && !IsShunned(aNow, aPath) &&
         (!aRequest.m_isAllowed || aRequest.m_isAllowed(aPath));
}

PathHold::PathHold(StagePathPtr aPath, std::uint32_t aTokens)
  : m_path(std::move(aPath))
  , m_tokens(aTokens)
{
  Add(1);
}

PathHold::~PathHold()
{
  Add(-1);
}

PathHold::PathHold(PathHold&& aOther) noexcept
  : m_path(std::move(aOther.m_path))
  , m_tokens(aOther.m_tokens)
{
  aOther.m_path = nullptr;
}

PathHold&
PathHold::operator=(PathHold&& aOther) noexcept
{
  if (this != &aOther) {
    Add(-1);
    m_path = std::move(aOther.m_path);
    m_tokens = aOther.m_tokens;
    aOther.m_path = nullptr;
  }
  return *this;
}

void
PathHold::Add(std::int32_t aSign) const
{
  if (!m_path) {
    return;
  }
  for (const PathStage& stage : m_path->m_stages) {
    stage.m_runner->m_load->HoldTokens(aSign *
                                       static_cast<std::int32_t>(m_tokens));
  }
}

} // namespace parsleycove
