// The paths through a service's engines, and which one a request takes.
#include "Routing/PathBook.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "Routing/Random.h"

namespace parsleycove {

namespace {

// An engine of an earlier path costs this much more in the next one.
constexpr double kReusePenalty = 8;
constexpr double kBytesPerMb = 1e6;
// About as long as a stream lasts: a VM of a large fleet hears of an engine's
// load once in a second or two.
constexpr double kStreamSeconds = 3;
// Engines that differ by less than this are drawn from: the streams of all
// gateways look for others at the same moment.
constexpr double kRepairSpread = 1;
// Engines slower than this step in for no other one.
constexpr double kSlowStandIn = 2.5;
// Engines read a prompt in parts, one with each step.
constexpr double kTokensPerStep = 512;
// A path that leaves its zone is taken only where no other one has room.
constexpr double kCrossingCost = 10;
// A full path is none; more than all other costs together.
constexpr double kFullCost = 1e6;

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

// Per token, for some layers on one engine.
double
ReadMs(const LayeredModel& aModel,
       const LayerSpan& aSpan,
       const Runner& aRunner,
       TimePoint aNow)
{
  const AcceleratorKind* kind = aModel.FindKind(aRunner.m_accelerator);
  if (kind == nullptr || aModel.m_readTokensPerSecond <= 0 ||
      aModel.m_layers == 0) {
    return 0;
  }
  constexpr double kMsPerSecond = 1000;
  const double share = static_cast<double>(aSpan.Length()) / aModel.m_layers;
  const double reading =
    kind->m_readPace * kMsPerSecond / aModel.m_readTokensPerSecond;
  const double step = kind->m_stepPace * aModel.m_stepMs / kTokensPerStep;
  return share * (reading + step) *
         std::max(1.0, aRunner.m_load->Slowness(aNow));
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
PathBook::MakePath(TimePoint aNow,
                   const std::vector<PathHost>& aHosts,
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
    const double reading = ReadMs(m_model, part.m_span, *runner, aNow);
    path->m_readMs = std::max(path->m_readMs, reading);
    path->m_wholeReadMs += reading;
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
    host.m_penalty = IsUsable(aNow, *runner) ? 1 : 0;
    hosts.push_back(host);
  }
  const std::size_t most = m_settings.m_paths;
  for (std::size_t i = 0; i < most; ++i) {
    const auto parts =
      FindLayerPath(m_model.m_layers, hosts, m_settings.m_costs);
    if (parts.empty()) {
      break;
    }
    m_paths.push_back(MakePath(aNow, hosts, parts));
    for (const PathPart& part : parts) {
      hosts[part.m_host].m_penalty *= kReusePenalty;
    }
  }
}

bool
PathBook::IsUsable(TimePoint aNow, const Runner& aRunner) const
{
  return m_model.FindKind(aRunner.m_accelerator) != nullptr &&
         aRunner.m_layerCount != 0 && !aRunner.m_load->IsShunned(aNow) &&
         aRunner.m_load->Circuit(aNow) == CircuitState::Ok;
}

std::vector<PathHost>
PathBook::MakeStandIns(TimePoint aNow,
                       const LayerSpan& aGap,
                       const StagePath& aBroken,
                       const RepairRequest& aRequest) const
{
  const std::uint32_t zone = aBroken.First().m_zoneIndex;
  const double part = static_cast<double>(aGap.Length()) / m_model.m_layers;
  std::vector<PathHost> hosts;
  for (const RunnerPtr& runner : m_engines) {
    PathHost& host = hosts.emplace_back();
    const std::uint32_t first = std::max(runner->m_firstLayer, aGap.m_first);
    const std::uint32_t end =
      std::min(runner->m_firstLayer + runner->m_layerCount, aGap.m_end);
    const auto& excluded = aRequest.m_excluded;
    const bool isBarred =
      aBroken.Uses(runner->m_id) ||
      std::find(excluded.begin(), excluded.end(), runner->m_id) !=
        excluded.end();
    const double room = TokenRoom(m_model, *runner);
    const double held = runner->m_load->HeldTokens() + aRequest.m_tokens;
    const bool isSlow = runner->m_load->Slowness(aNow) > kSlowStandIn;
    if (first >= end || isBarred || isSlow || !IsUsable(aNow, *runner) ||
        held > room) {
      host.m_penalty = 0;
      continue;
    }
    host.m_holds = { first - aGap.m_first, end - aGap.m_first };
    host.m_zone = runner->m_zoneIndex;
    // Reading the tokens so far takes longest.
    const AcceleratorKind* kind = m_model.FindKind(runner->m_accelerator);
    host.m_stepMs =
      kind->m_readPace * std::max(1.0, runner->m_load->Slowness(aNow)) * part;
    if (runner->m_zoneIndex != zone) {
      host.m_stepMs += 2 * m_settings.m_costs.m_zoneHopMs;
    }
    Random draw(runner->m_idHash ^ aRequest.m_seed);
    host.m_penalty = (1 + held / room) * (1 + kRepairSpread * draw.Fraction());
  }
  return hosts;
}

StagePathPtr
PathBook::Repair(TimePoint aNow,
                 const StagePath& aBroken,
                 const RepairRequest& aRequest) const
{
  const auto isLost = [&](const PathStage& aStage) {
    const auto& excluded = aRequest.m_excluded;
    return aStage.m_runner->m_load->Circuit(aNow) != CircuitState::Ok ||
           std::find(excluded.begin(), excluded.end(), aStage.m_runner->m_id) !=
             excluded.end();
  };
  if (isLost(aBroken.m_stages.front())) {
    return nullptr;
  }
  boost::intrusive_ptr<StagePath> path(new StagePath());
  path->m_stepMs = aBroken.m_stepMs;
  path->m_readMs = aBroken.m_readMs;
  path->m_wholeReadMs = aBroken.m_wholeReadMs;
  const auto& stages = aBroken.m_stages;
  for (auto stage = stages.begin(); stage != stages.end();) {
    const auto next = std::find_if_not(stage, stages.end(), isLost);
    if (next == stage) {
      path->m_stages.push_back(*stage++);
      continue;
    }
    const LayerSpan gap{ stage->m_span.m_first, (next - 1)->m_span.m_end };
    const auto parts = FindLayerPath(gap.Length(),
                                     MakeStandIns(aNow, gap, aBroken, aRequest),
                                     m_settings.m_costs);
    if (parts.empty()) {
      return nullptr;
    }
    for (const PathPart& part : parts) {
      const RunnerPtr& runner = m_engines[part.m_host];
      if (path->Uses(runner->m_id)) {
        return nullptr;
      }
      path->m_stages.push_back({ runner,
                                 { part.m_span.m_first + gap.m_first,
                                   part.m_span.m_end + gap.m_first },
                                 TokenRoom(m_model, *runner) });
    }
    stage = next;
  }
  for (std::size_t i = 1; i < path->m_stages.size(); ++i) {
    const bool crosses = path->m_stages[i - 1].m_runner->m_zone !=
                         path->m_stages[i].m_runner->m_zone;
    path->m_crossings += crosses ? 1 : 0;
  }
  return path->m_stages.size() <= m_settings.m_costs.m_maxParts ? path
                                                                : nullptr;
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
PathBook::OwnToAll(TimePoint aNow,
                   const StagePath& aPath,
                   std::uint32_t aGateways)
{
  const RunnerLoad& first = *aPath.First().m_load;
  return std::clamp(first.EstimateStreams(aNow, kStreamSeconds) /
                      std::max(1, first.Streams()),
                    1.0,
                    2.0 * std::max(1U, aGateways));
}

PathFill
PathBook::Fill(TimePoint aNow,
               const StagePath& aPath,
               const PathRequest& aRequest)
{
  // The first engine tells how many requests it has of all gateways.
  const RunnerLoad& first = *aPath.First().m_load;
  const double streams = first.EstimateStreams(aNow, kStreamSeconds);
  const double share = OwnToAll(aNow, aPath, aRequest.m_gateways);
  const double slots =
    std::max(1.0, static_cast<double>(aPath.First().m_slots));
  const double unread = first.UnreadTokens() * share + aRequest.m_promptTokens;
  PathFill fill{
    (streams + 1) / slots, nullptr, streams, unread * aPath.m_readMs
  };
  for (const PathStage& stage : aPath.m_stages) {
    const double held =
      stage.m_runner->m_load->HeldTokens() * share + aRequest.m_tokens;
    const double part = held / std::max(1.0, stage.m_tokenRoom);
    if (part > fill.m_part) {
      fill.m_part = part;
      fill.m_tightest = stage.m_runner;
    }
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
  PathFill bestFill;
  double least = 0;
  for (const StagePathPtr& path : m_paths) {
    if (!IsAllowed(aNow, *path, aRequest)) {
      continue;
    }
    const PathFill whole = Fill(aNow, *path, aRequest);
    const double fill = whole.m_part;
    const double slowness = path->m_stepMs / fastest;
    const bool isLocal = path->m_crossings == 0;
    const bool isLate = IsLate(aNow, *path, aRequest);
    if (aRequest.m_resumeSeed == 0 && isLocal && !isLate &&
        path->First().m_zone == m_zone && fill <= m_settings.m_ownZoneFill &&
        whole.m_readingMs <= m_settings.m_ownZoneReadingMs &&
        slowness <= m_settings.m_ownZoneSlowness) {
      return { path, false, whole };
    }
    const double cost = Cost(*path, whole, fastest) +
                        DrawOthersCost(aNow, *path, aRequest) +
                        (isLate ? m_settings.m_lateCost : 0);
    if (!best || cost < least) {
      best = path;
      bestFill = whole;
      least = cost;
    }
  }
  const bool isFull = best && bestFill.m_part > m_settings.m_fillLimit;
  return { isFull ? nullptr : best, isFull, bestFill };
}

double
PathBook::Cost(const StagePath& aPath,
               const PathFill& aFill,
               double aFastestStepMs) const
{
  // A stream stays longer on a slow path, so the same fill is worth less.
  double cost = aFill.m_part * aPath.m_stepMs / aFastestStepMs +
                aFill.m_readingMs / m_settings.m_readingMs;
  if (aPath.m_crossings != 0) {
    cost += kCrossingCost;
  }
  if (aFill.m_part > m_settings.m_fillLimit) {
    cost += kFullCost;
  }
  return cost;
}

bool
PathBook::IsLate(TimePoint aNow,
                 const StagePath& aPath,
                 const PathRequest& aRequest)
{
  return aRequest.m_gapTarget != Duration::zero() &&
         aPath.First().m_load->EventGap(aNow) > aRequest.m_gapTarget;
}

double
PathBook::DrawOthersCost(TimePoint aNow,
                         const StagePath& aPath,
                         const PathRequest& aRequest) const
{
  if (aRequest.m_resumeSeed == 0) {
    return 0;
  }
  const double others = OwnToAll(aNow, aPath, aRequest.m_gateways) - 1;
  Random draw(aPath.First().m_idHash ^ aRequest.m_resumeSeed);
  return draw.Fraction() * others * aRequest.m_promptTokens * aPath.m_readMs /
         m_settings.m_readingMs;
}

RepairLoad
PathBook::WeighRepair(TimePoint aNow,
                      const StagePath& aBroken,
                      const StagePath& aRepaired,
                      std::uint32_t aTokens)
{
  if (aNow - m_plannedAt >= m_settings.m_refresh) {
    Plan(aNow);
  }
  RepairLoad load;
  load.m_streams =
    aBroken.First().m_load->EstimateStreams(aNow, kStreamSeconds);
  for (const PathStage& stage : aRepaired.m_stages) {
    if (!aBroken.Uses(stage.m_runner->m_id)) {
      const double reading =
        ReadMs(m_model, stage.m_span, *stage.m_runner, aNow);
      load.m_standInMs = std::max(load.m_standInMs, aTokens * reading);
    }
  }
  std::set<std::string_view> firsts;
  for (const StagePathPtr& path : m_paths) {
    const bool isOther = path->m_crossings == 0 && !IsShunned(aNow, *path) &&
                         path->First().m_id != aBroken.First().m_id;
    if (isOther && firsts.insert(path->First().m_id).second) {
      load.m_restartMs = std::max(load.m_restartMs, aTokens * path->m_readMs);
      load.m_wholePathMs =
        std::max(load.m_wholePathMs, aTokens * path->m_wholeReadMs);
    }
  }
  load.m_paths = firsts.size();
  return load;
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

PathHold::PathHold(StagePathPtr aPath,
                   std::uint32_t aTokens,
                   std::uint32_t aUnread)
  : m_path(std::move(aPath))
  , m_tokens(aTokens)
  , m_unread(aUnread)
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
  , m_unread(aOther.m_unread)
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
    m_unread = aOther.m_unread;
    aOther.m_path = nullptr;
  }
  return *this;
}

void
PathHold::NoteRead()
{
  if (m_path && m_unread != 0) {
    m_path->First().m_load->HoldUnread(-static_cast<std::int32_t>(m_unread));
    m_unread = 0;
  }
}

void
PathHold::Add(std::int32_t aSign) const
{
  if (!m_path) {
    return;
  }
  m_path->First().m_load->HoldUnread(aSign *
                                     static_cast<std::int32_t>(m_unread));
  for (const PathStage& stage : m_path->m_stages) {
    stage.m_runner->m_load->HoldTokens(aSign *
                                       static_cast<std::int32_t>(m_tokens));
  }
}

} // namespace parsleycove
