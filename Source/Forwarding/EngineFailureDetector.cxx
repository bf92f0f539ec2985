// Detects failed and slow engines behind stalled streams.
#include "Forwarding/EngineFailureDetector.h"

#include <algorithm>
#include <utility>

#include "Forwarding/LimitExchange.h"
#include "Forwarding/NoticeRecorder.h"
#include "Forwarding/PromptPartReporter.h"
#include "Forwarding/ReachMonitor.h"
#include "Routing/HungStages.h"
#include "Telemetry/LoggedSpawn.h"

namespace parsleycove {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kHttp11 = 11;
// Engines with a slowdown factor above this are avoided where alternatives
// exist.
constexpr double kSlowdownToAvoid = 1.05;
// Streams leave engines with a slowdown factor above this: repeating the
// prefill on another engine costs about a tenth of a stream.
constexpr double kSlowdownToLeave = 2.5;
// An endpoint that has answered within this time counts as answering in the
// log.
constexpr Duration kAnsweringWindow = std::chrono::milliseconds(500);

} // namespace

EngineFailureDetector::EngineFailureDetector(
  asio::io_context& aContext,
  const ForwardDialect& aDialect,
  DecisionLog& aLog,
  EngineFailureDetectorSettings aSettings)
  : m_context(aContext)
  , m_dialect(aDialect)
  , m_log(aLog)
  , m_settings(aSettings)
  , m_client(aContext.get_executor(), EndpointClient::kMaxShortHeldBytes)
  , m_rerouter(aContext, aDialect, aLog)
{
}

void
EngineFailureDetector::Attach(RoutingState& aRouting,
                              ForwardMetrics& aMetrics,
                              DeadlineMonitor& aDeadlines,
                              NoticeRecorder& aNotices,
                              PromptPartReporter& aPromptParts,
                              LimitExchange& aLimits,
                              ReachMonitor& aReach)
{
  m_routing = &aRouting;
  m_metrics = &aMetrics;
  m_deadlines = &aDeadlines;
  m_notices = &aNotices;
  m_promptParts = &aPromptParts;
  m_limits = &aLimits;
  m_reach = &aReach;
  m_rerouter.Attach(aRouting, aMetrics);
}

void
EngineFailureDetector::TrackStream(const EndpointCallPtr& aStream)
{
  m_streams.push_back(aStream);
}

void
EngineFailureDetector::Check(TimePoint aNow)
{
  m_routing->Refresh(aNow);
  if (m_deadlines->LastCheckDelay() > m_settings.m_localPauseThreshold) {
    m_silenceValidFrom = aNow;
  }
  std::erase_if(m_streams, [](const auto& aStream) {
    const EndpointCallPtr stream = aStream.lock();
    return !stream || stream->End() != CallEnd::None;
  });
  m_activity.clear();
  for (const auto& weak : m_streams) {
    if (const EndpointCallPtr stream = weak.lock()) {
      CollectActivity(*stream);
      MoveIfStalled(aNow, stream);
    }
  }
  ApplyFailureReports(aNow);
  for (const auto& [key, activity] : m_activity) {
    ProbeIfSilent(aNow, activity);
  }
  ProbeSuspected(aNow);
  m_reach->Check(aNow);
  m_promptParts->Flush(aNow);
  m_limits->Flush(aNow);
  for (const RunnerPtr& engine : m_routing->Limits().TakeSilent(aNow)) {
    StartProbe(aNow, engine, m_settings.m_slowProbeInterval);
  }
}

void
EngineFailureDetector::CollectActivity(EndpointCall& aStream)
{
  for (const PathStage& stage : aStream.Path()->m_stages) {
    StreamActivity& activity = m_activity[IncarnationKey(*stage.m_runner)];
    activity.m_runner = stage.m_runner;
    if (aStream.HasProgress()) {
      activity.m_hasStartedStream = true;
      activity.m_averageArrivalGap =
        std::max(activity.m_averageArrivalGap, aStream.AverageArrivalGap());
      activity.m_isSlow = activity.m_isSlow || aStream.AverageArrivalGap() >
                                                 m_settings.m_slowGapThreshold;
    } else {
      activity.m_unansweredSince =
        std::min(activity.m_unansweredSince, aStream.SentAt());
    }
  }
}

Duration
EngineFailureDetector::StallThreshold(const StreamActivity& aActivity) const
{
  return std::max(
    m_settings.m_minProbeDelay,
    std::chrono::duration_cast<Duration>(aActivity.m_averageArrivalGap *
                                         m_settings.m_probeAfterGaps));
}

TimePoint
EngineFailureDetector::LastProgressAt(const Runner& aRunner) const
{
  return std::max(aRunner.m_load->AnsweredAt(), m_silenceValidFrom);
}

void
EngineFailureDetector::ProbeIfSilent(TimePoint aNow,
                                     const StreamActivity& aActivity)
{
  if (aActivity.m_runner->m_load->Circuit(aNow) == CircuitState::Open) {
    return;
  }
  const TimePoint lastProgressAt = LastProgressAt(*aActivity.m_runner);
  const bool isSilent = aActivity.m_hasStartedStream &&
                        aNow - lastProgressAt > StallThreshold(aActivity);
  const TimePoint unansweredSince =
    std::max(aActivity.m_unansweredSince, m_silenceValidFrom);
  const bool isWaiting = aNow - unansweredSince > m_settings.m_probeAfterSend &&
                         lastProgressAt < unansweredSince;
  if (isSilent || isWaiting) {
    StartProbe(aNow, aActivity.m_runner, m_settings.m_probeInterval);
  } else if (aActivity.m_isSlow) {
    StartProbe(aNow, aActivity.m_runner, m_settings.m_slowProbeInterval);
  }
}

void
EngineFailureDetector::MoveIfStalled(TimePoint aNow,
                                     const EndpointCallPtr& aStream)
{
  const Duration silent =
    aNow - std::max(aStream->ProgressAt(), m_silenceValidFrom);
  // The VM that took a stream over moves it itself as long as the VM runs.
  const bool isPassedOn = aStream->Path()->IsPassedOn();
  if (silent >= m_settings.m_leaveFailedAfter &&
      HasFailedStage(aNow, *aStream)) {
    m_rerouter.MoveOffFailedStage(aStream);
    return;
  }
  if (isPassedOn || silent < m_settings.m_minProbeDelay) {
    return;
  }
  std::vector<RunnerPtr> hung;
  if (!aStream->HasProgress()) {
    hung = FindHungStages(*aStream->Path(), aStream->SentAt());
  }
  if (silent < MoveDelay(*aStream, hung)) {
    return;
  }
  EjectHung(aNow, hung);
  if (aStream->ClaimMove()) {
    aStream->Suspend(CallEnd::Stalled);
  }
}

Duration
EngineFailureDetector::MoveDelay(const EndpointCall& aStream,
                                 const std::vector<RunnerPtr>& aHung) const
{
  if (aStream.HasProgress()) {
    return std::max(m_settings.m_minMoveDelay,
                    aStream.AverageArrivalGap() * m_settings.m_moveAfterGaps);
  }
  const bool isOverdue =
    !aHung.empty() && aStream.FirstEventTarget() > Duration::zero();
  return isOverdue
           ? std::min(m_settings.m_moveAfterSend, aStream.FirstEventTarget())
           : m_settings.m_moveAfterSend;
}

void
EngineFailureDetector::EjectHung(TimePoint aNow,
                                 const std::vector<RunnerPtr>& aHung)
{
  for (const RunnerPtr& engine : aHung) {
    if (!engine->m_load->IsEjected(aNow)) {
      engine->m_load->EjectFor(aNow, m_settings.m_hungEjection);
      m_routing->InvalidatePaths();
      LogSuspected(*engine,
                   "no event has passed the engine while other engines of its "
                   "paths go on",
                   m_settings.m_hungEjection);
    }
  }
}

bool
EngineFailureDetector::HasFailedStage(TimePoint aNow,
                                      const EndpointCall& aStream)
{
  const auto& stages = aStream.Path()->m_stages;
  return std::any_of(
    stages.begin(), stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_load->Circuit(aNow) == CircuitState::Open;
    });
}

void
EngineFailureDetector::ApplyFailureReports(TimePoint aNow)
{
  const RunnerTable* table = m_routing->Runners();
  if (table == nullptr) {
    return;
  }
  for (const RunnerPtr& runner : table->Runners()) {
    const bool isUsable =
      runner->m_kind == state::EndpointKind::ManagedEngine &&
      runner->m_phase == state::EndpointPhase::Ready &&
      runner->m_load->Circuit(aNow) == CircuitState::Closed;
    if (!runner->m_isSuspected || !isUsable) {
      continue;
    }
    switch (EvaluateFailureReport(CollectEvidence(aNow, *runner))) {
      case FailureReportDecision::Accept:
        AcceptReport(aNow, runner);
        break;
      case FailureReportDecision::Probe:
        StartProbe(aNow, runner, m_settings.m_slowProbeInterval);
        break;
      case FailureReportDecision::Ignore:
        break;
    }
  }
}

LocalEvidence
EngineFailureDetector::CollectEvidence(TimePoint aNow,
                                       const Runner& aRunner) const
{
  const auto entry = m_activity.find(IncarnationKey(aRunner));
  if (entry == m_activity.end() || !entry->second.m_hasStartedStream) {
    return { aNow - aRunner.m_load->AnsweredAt(), false, {} };
  }
  return { aNow - LastProgressAt(aRunner),
           true,
           StallThreshold(entry->second) };
}

void
EngineFailureDetector::AcceptReport(TimePoint aNow, const RunnerPtr& aRunner)
{
  EngineHealth& health = m_health[IncarnationKey(*aRunner)];
  health.m_runner = aRunner;
  health.m_isSuspectedByReport = true;
  aRunner->m_load->OpenCircuitFor(aNow, m_settings.m_reportValidity);
  m_routing->InvalidatePaths();
  LogSuspected(*aRunner,
               "another VM found that the engine failed",
               m_settings.m_reportValidity);
  MoveOffFailed(aNow);
}

void
EngineFailureDetector::ReportUnresponsive(TimePoint aNow,
                                          const RunnerPtr& aRunner)
{
  StartProbe(aNow, aRunner, m_settings.m_probeInterval);
}

void
EngineFailureDetector::ReportBroken(TimePoint aNow, const RunnerPtr& aRunner)
{
  StartProbe(aNow, aRunner, Duration::zero());
}

void
EngineFailureDetector::StartProbe(TimePoint aNow,
                                  const RunnerPtr& aRunner,
                                  Duration aMinInterval)
{
  EngineHealth& health = m_health[IncarnationKey(*aRunner)];
  health.m_runner = aRunner;
  if (health.m_isProbing || aNow - health.m_probedAt < aMinInterval) {
    return;
  }
  health.m_isProbing = true;
  health.m_probedAt = aNow;
  ++m_metrics->Probes();
  SpawnLogged(m_context,
              "probing an engine",
              Probe(aRunner),
              [this, key = IncarnationKey(*aRunner)] {
                m_health[key].m_isProbing = false;
              });
}

void
EngineFailureDetector::AdoptOpenCircuits(TimePoint aNow)
{
  const RunnerTable* table = m_routing->Runners();
  if (table == nullptr || table == m_adoptedTable.get()) {
    return;
  }
  m_adoptedTable.reset(table);
  for (const RunnerPtr& runner : table->Runners()) {
    if (runner->m_kind == state::EndpointKind::ManagedEngine &&
        runner->m_load->Circuit(aNow) != CircuitState::Closed) {
      m_health[IncarnationKey(*runner)].m_runner = runner;
    }
  }
}

void
EngineFailureDetector::ProbeSuspected(TimePoint aNow)
{
  AdoptOpenCircuits(aNow);
  const RunnerTable* table = m_routing->Runners();
  for (auto entry = m_health.begin(); entry != m_health.end();) {
    EngineHealth& health = entry->second;
    const Runner* listed =
      table ? table->FindRunner(health.m_runner->m_id) : nullptr;
    const bool isRemoved =
      !health.m_runner->m_isGateway &&
      (listed == nullptr ||
       listed->m_incarnation != health.m_runner->m_incarnation ||
       listed->m_phase == state::EndpointPhase::Leaving);
    if (isRemoved && !health.m_isProbing) {
      entry = m_health.erase(entry);
      continue;
    }
    // The circuits of endpoints out of reach are closed when the links are
    // back.
    if (m_reach->IsUnreached(health.m_runner->m_service)) {
      ++entry;
      continue;
    }
    const CircuitState circuit = health.m_runner->m_load->Circuit(aNow);
    const bool isReportedFailed = listed != nullptr && listed->m_isSuspected;
    if (health.m_runner->m_isGateway && circuit != CircuitState::Open &&
        !health.m_isProbing) {
      // Its next request tries it.
      entry = m_health.erase(entry);
      continue;
    }
    if (health.m_isSuspectedByReport && !isReportedFailed) {
      // The engine has announced itself since the report.
      health.m_isSuspectedByReport = false;
      if (circuit != CircuitState::Closed) {
        StartProbe(aNow, health.m_runner, Duration::zero());
      }
    } else if (circuit == CircuitState::HalfOpen && isReportedFailed &&
               m_routing->HasLease(aNow)) {
      // Stays open until the engine's next announcement clears the report.
      health.m_isSuspectedByReport = true;
      health.m_runner->m_load->OpenCircuitFor(aNow,
                                              m_settings.m_reportValidity);
    } else if (circuit == CircuitState::HalfOpen) {
      StartProbe(aNow, health.m_runner, Duration::zero());
    } else if (health.m_slowdown > kSlowdownToAvoid) {
      StartProbe(aNow, health.m_runner, m_settings.m_slowProbeInterval);
    }
    ++entry;
  }
}

asio::awaitable<CallResult>
EngineFailureDetector::FetchState(RunnerPtr aRunner, ConnectionChoice aChoice)
{
  HttpRequest request(http::verb::get, m_dialect.EngineStatePath(), kHttp11);
  request.set(http::field::host, aRunner->m_address.ToString());
  co_return co_await m_client.Call(
    aRunner->m_address, std::move(request), m_settings.m_probeTimeout, aChoice);
}

asio::awaitable<void>
EngineFailureDetector::Probe(RunnerPtr aRunner)
{
  const TimePoint firstSentAt = BootClock::now();
  TimePoint sentAt = firstSentAt;
  CallResult result = co_await FetchState(aRunner, ConnectionChoice::Reuse);
  if (ShouldRetryProbe(result, *aRunner)) {
    sentAt = BootClock::now();
    result = co_await FetchState(aRunner, ConnectionChoice::New);
  }
  m_health[IncarnationKey(*aRunner)].m_runner = aRunner;
  std::optional<EngineState> state;
  if (result.m_response && result.m_response->result_int() == kOk) {
    state = aRunner->m_isGateway
              ? EngineState{}
              : m_dialect.ParseEngineState(result.m_response->body());
  }
  const TimePoint now = BootClock::now();
  // A restarted engine answers, but has lost the state of its streams.
  const bool hasRestarted = state && state->m_incarnation &&
                            *state->m_incarnation != aRunner->m_incarnation;
  if (hasRestarted) {
    aRunner->m_load->RecordStartedAgain();
    MarkFailed(now, aRunner, "the engine has started again");
  } else if (state && aRunner->m_isGateway) {
    MarkAlive(aRunner, *state);
  } else if (state) {
    m_notices->Record(
      now,
      AnswerOrigin{ AnswerKind::Probe, sentAt },
      aRunner,
      nullptr,
      m_dialect.ParseAnswerHeaders(result.m_response->result_int(),
                                   result.m_response->base()));
    MarkAlive(aRunner, *state);
  } else if (result.m_response) {
    MarkFailed(now, aRunner, "unexpected answer to a probe");
  } else if (IsConclusive(sentAt, result) &&
             aRunner->m_load->AnsweredAt() < firstSentAt) {
    if (result.IsUnsent() && !result.m_hasTimedOut) {
      aRunner->m_load->RecordRefused(now);
    }
    MarkUnreached(now,
                  result.m_hasTimedOut ? sentAt : now,
                  aRunner,
                  result.m_hasTimedOut ? FailureEvidence::Timeout
                                       : FailureEvidence::Certain,
                  result.m_reason.m_text);
  }
}

bool
EngineFailureDetector::ShouldRetryProbe(const CallResult& aResult,
                                        const Runner& aRunner) const
{
  if (aResult.m_response) {
    return false;
  }
  if (aResult.m_hasTimedOut) {
    return !m_routing->IsInLocalZone(aRunner);
  }
  return !aResult.IsUnsent();
}

bool
EngineFailureDetector::IsConclusive(TimePoint aSentAt,
                                    const CallResult& aResult) const
{
  const bool isRefused = aResult.m_reason.m_code == CallError::NotConnected &&
                         !aResult.m_hasTimedOut;
  const Duration taken = BootClock::now() - aSentAt;
  const bool wasPaused =
    m_deadlines->LastCheckDelay() > m_settings.m_localPauseThreshold ||
    taken > m_settings.m_probeTimeout + m_settings.m_localPauseThreshold;
  return isRefused || !wasPaused;
}

void
EngineFailureDetector::MarkAlive(const RunnerPtr& aRunner,
                                 const EngineState& aState)
{
  const TimePoint now = BootClock::now();
  EngineHealth& health = m_health[IncarnationKey(*aRunner)];
  health.m_circuitOpenTime = Duration::zero();
  const bool slowChanged = (health.m_slowdown > kSlowdownToAvoid) !=
                           (aState.m_slowdown > kSlowdownToAvoid);
  health.m_slowdown = aState.m_slowdown;
  const bool wasOk = aRunner->m_load->Circuit(now) == CircuitState::Closed;
  aRunner->m_load->CloseCircuit(now);
  if (aState.m_slowdown > kSlowdownToAvoid || slowChanged) {
    aRunner->m_load->RecordSlowdown(now, aState.m_slowdown);
  }
  if (aState.m_slowdown > kSlowdownToLeave) {
    for (const auto& weak : m_streams) {
      if (const EndpointCallPtr stream = weak.lock()) {
        m_rerouter.MoveOffSlowStage(stream, *aRunner);
      }
    }
  }
  if (!wasOk || slowChanged) {
    m_routing->InvalidatePaths();
    m_log.Write(DecisionEvent::EndpointCleared, [&](DecisionLine& aLine) {
      aLine.Add("endpoint", aRunner->m_id)
        .Add("why", "the engine answered a probe")
        .Add("pace_percent",
             static_cast<std::int64_t>(aState.m_slowdown * 100));
    });
  }
}

void
EngineFailureDetector::ReportFailure(TimePoint aNow,
                                     const RunnerPtr& aRunner,
                                     std::string_view aWhy)
{
  aRunner->m_load->RecordRefused(aNow);
  MarkUnreached(aNow, aNow, aRunner, FailureEvidence::Certain, aWhy);
}

void
EngineFailureDetector::MarkUnreached(TimePoint aNow,
                                     TimePoint aSince,
                                     const RunnerPtr& aRunner,
                                     FailureEvidence aEvidence,
                                     std::string_view aWhy)
{
  OpenCircuit(aNow, aRunner, aWhy);
  if (!aRunner->m_isGateway) {
    m_reach->RecordUnreached(aSince, *aRunner);
    m_reach->ReportFailure(aSince, aRunner, aEvidence);
  }
}

void
EngineFailureDetector::MarkFailed(TimePoint aNow,
                                  const RunnerPtr& aRunner,
                                  std::string_view aWhy)
{
  ReachMonitor::RecordReached(aNow, *aRunner);
  OpenCircuit(aNow, aRunner, aWhy);
  if (!aRunner->m_isGateway) {
    m_routing->ReportFailure(*aRunner, FailureEvidence::Certain);
    m_promptParts->RecordLostEngine(aNow, *aRunner);
    m_promptParts->ConfirmLostEngine(aNow, *aRunner);
  }
}

void
EngineFailureDetector::OpenCircuit(TimePoint aNow,
                                   const RunnerPtr& aRunner,
                                   std::string_view aWhy)
{
  EngineHealth& health = m_health[IncarnationKey(*aRunner)];
  health.m_runner = aRunner;
  health.m_circuitOpenTime = std::clamp(health.m_circuitOpenTime * 2,
                                        m_settings.m_minCircuitOpenTime,
                                        m_settings.m_maxCircuitOpenTime);
  aRunner->m_load->OpenCircuitFor(aNow, health.m_circuitOpenTime);
  m_routing->InvalidatePaths();
  health.m_isSuspectedByReport = false;
  LogSuspected(*aRunner, aWhy, health.m_circuitOpenTime);
  MoveOffFailed(aNow);
}

void
EngineFailureDetector::LogSuspected(const Runner& aRunner,
                                    std::string_view aWhy,
                                    Duration aCircuitOpenTime)
{
  m_log.Write(DecisionEvent::EndpointSuspected, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aRunner.m_id)
      .Add("address", aRunner.m_address.ToString())
      .Add("why", aWhy)
      .Add("others_answering", CountAnsweringOthers(aRunner))
      .AddMs("late_ms", m_deadlines->LastCheckDelay())
      .AddMs("avoid_ms", aCircuitOpenTime);
  });
}

std::int64_t
EngineFailureDetector::CountAnsweringOthers(const Runner& aRunner) const
{
  const RunnerTable* table = m_routing->Runners();
  if (table == nullptr) {
    return 0;
  }
  const TimePoint since = BootClock::now() - kAnsweringWindow;
  const auto& runners = table->Runners();
  return std::count_if(
    runners.begin(), runners.end(), [&](const RunnerPtr& aOther) {
      return aOther->m_id != aRunner.m_id &&
             aOther->m_load->AnsweredAt() >= since;
    });
}

void
EngineFailureDetector::MoveOffFailed(TimePoint aNow)
{
  for (const auto& weak : m_streams) {
    if (const EndpointCallPtr stream = weak.lock()) {
      MoveIfStalled(aNow, stream);
    }
  }
}

RunnerPtr
EngineFailureDetector::FindByAddress(std::string_view aAddress) const
{
  const RunnerTable* table = m_routing->Runners();
  const auto address = SocketAddress::Parse(aAddress);
  if (table == nullptr || !address) {
    return nullptr;
  }
  // One that has left stays listed, also after another took its address.
  RunnerPtr leaving;
  for (const RunnerPtr& runner : table->Runners()) {
    if (runner->m_address != *address) {
      continue;
    }
    if (runner->m_phase == state::EndpointPhase::Ready) {
      return runner;
    }
    leaving = runner;
  }
  return leaving;
}

} // namespace parsleycove
