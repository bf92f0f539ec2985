// Finds the dead stage behind silent streams.
#include "Forwarding/PathDoctor.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Routing/Random.h"

namespace parsleycove {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kHttp11 = 11;
// Engines slower than this are avoided where there are others.
constexpr double kSlowPace = 1.05;
// Streams leave engines slower than this: reading their tokens once more on
// another engine costs about as much as a tenth of a stream.
constexpr double kLeavePace = 2.5;

std::uint64_t
KeyOf(const Runner& aRunner)
{
  return MixBits(aRunner.m_idHash ^ aRunner.m_incarnation);
}

} // namespace

PathDoctor::PathDoctor(asio::io_context& aContext,
                       const ForwardDialect& aDialect,
                       DecisionLog& aLog,
                       PathDoctorSettings aSettings)
  : m_context(aContext)
  , m_dialect(aDialect)
  , m_log(aLog)
  , m_settings(aSettings)
  , m_client(aContext.get_executor())
  , m_rerouter(aContext, aDialect, aLog)
{
}

void
PathDoctor::Attach(RoutingBoard& aBoard,
                   ForwardMetrics& aMetrics,
                   ActivityWatch& aWatch)
{
  m_board = &aBoard;
  m_metrics = &aMetrics;
  m_watch = &aWatch;
  m_rerouter.Attach(aBoard, aMetrics);
}

void
PathDoctor::Follow(const ForwardCallPtr& aStream)
{
  m_streams.push_back(aStream);
}

void
PathDoctor::Check(TimePoint aNow)
{
  m_board->Refresh(aNow);
  if (m_watch->LastDelay() > m_settings.m_ownPause) {
    m_judgeFrom = aNow;
  }
  std::erase_if(m_streams, [](const auto& aStream) {
    const ForwardCallPtr stream = aStream.lock();
    return !stream || stream->End() != CallEnd::None;
  });
  m_traffic.clear();
  for (const auto& weak : m_streams) {
    if (const ForwardCallPtr stream = weak.lock()) {
      Gather(*stream);
      MoveIfSilent(aNow, stream);
    }
  }
  TakeReports(aNow);
  for (const auto& [key, traffic] : m_traffic) {
    Examine(aNow, traffic);
  }
  AskReturning(aNow);
}

void
PathDoctor::Gather(ForwardCall& aStream)
{
  for (const PathStage& stage : aStream.Path()->m_stages) {
    Traffic& traffic = m_traffic[KeyOf(*stage.m_runner)];
    traffic.m_runner = stage.m_runner;
    if (aStream.HasProgress()) {
      traffic.m_hasBegun = true;
      traffic.m_usualGap = std::max(traffic.m_usualGap, aStream.UsualGap());
      traffic.m_isSlow =
        traffic.m_isSlow || aStream.UsualGap() > m_settings.m_slowGap;
    } else {
      traffic.m_waitingSince =
        std::min(traffic.m_waitingSince, aStream.SentAt());
    }
  }
}

Duration
PathDoctor::Standstill(const Traffic& aTraffic) const
{
  return std::max(m_settings.m_askAfter,
                  std::chrono::duration_cast<Duration>(aTraffic.m_usualGap *
                                                       m_settings.m_askGaps));
}

TimePoint
PathDoctor::MovedAt(const Runner& aRunner) const
{
  return std::max(aRunner.m_load->AnsweredAt(), m_judgeFrom);
}

void
PathDoctor::Examine(TimePoint aNow, const Traffic& aTraffic)
{
  if (aTraffic.m_runner->m_load->Circuit(aNow) == CircuitState::Open) {
    return;
  }
  const TimePoint movedAt = MovedAt(*aTraffic.m_runner);
  const bool isSilent =
    aTraffic.m_hasBegun && aNow - movedAt > Standstill(aTraffic);
  const TimePoint waitingSince = std::max(aTraffic.m_waitingSince, m_judgeFrom);
  const bool isWaiting = aNow - waitingSince > m_settings.m_askAfterSending &&
                         movedAt < waitingSince;
  if (isSilent || isWaiting) {
    Ask(aNow, aTraffic.m_runner, m_settings.m_askAgain);
  } else if (aTraffic.m_isSlow) {
    Ask(aNow, aTraffic.m_runner, m_settings.m_askSlowAgain);
  }
}

void
PathDoctor::MoveIfSilent(TimePoint aNow, const ForwardCallPtr& aStream)
{
  const Duration silent = aNow - std::max(aStream->ProgressAt(), m_judgeFrom);
  const Duration moveAfter =
    aStream->HasProgress()
      ? std::max(m_settings.m_moveAfter,
                 aStream->UsualGap() * m_settings.m_moveGaps)
      : m_settings.m_moveAfterSending;
  if (silent >= m_settings.m_leaveDeadAfter && HasDeadStage(aNow, *aStream)) {
    m_rerouter.Leave(aStream);
  } else if (silent >= moveAfter && aStream->ClaimMove()) {
    aStream->Abort(CallEnd::Stalled);
  }
}

bool
PathDoctor::HasDeadStage(TimePoint aNow, const ForwardCall& aStream)
{
  const auto& stages = aStream.Path()->m_stages;
  return std::any_of(
    stages.begin(), stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_load->Circuit(aNow) == CircuitState::Open;
    });
}

void
PathDoctor::TakeReports(TimePoint aNow)
{
  const RunnerTable* table = m_board->Runners();
  if (table == nullptr) {
    return;
  }
  for (const RunnerPtr& runner : table->Runners()) {
    const bool isOpen = runner->m_kind == state::EndpointKind::ManagedEngine &&
                        runner->m_phase == state::EndpointPhase::Ready &&
                        runner->m_load->Circuit(aNow) == CircuitState::Closed;
    if (!runner->m_isSuspected || !isOpen) {
      continue;
    }
    switch (JudgeReport(EvidenceOf(aNow, *runner), m_settings.m_ownEvidence)) {
      case ReportVerdict::Believe:
        Believe(aNow, runner);
        break;
      case ReportVerdict::Ask:
        Ask(aNow, runner, m_settings.m_askSlowAgain);
        break;
      case ReportVerdict::Ignore:
        break;
    }
  }
}

OwnEvidence
PathDoctor::EvidenceOf(TimePoint aNow, const Runner& aRunner) const
{
  const auto place = m_traffic.find(KeyOf(aRunner));
  if (place == m_traffic.end() || !place->second.m_hasBegun) {
    return { aNow - aRunner.m_load->AnsweredAt(), false, {} };
  }
  return { aNow - MovedAt(aRunner), true, Standstill(place->second) };
}

void
PathDoctor::Believe(TimePoint aNow, const RunnerPtr& aRunner)
{
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_runner = aRunner;
  patient.m_isBelieved = true;
  aRunner->m_load->OpenCircuitFor(aNow, m_settings.m_belief);
  m_board->InvalidatePaths();
  LogSuspected(*aRunner, "another VM found it dead", m_settings.m_belief);
  LeaveDead(aNow);
}

void
PathDoctor::Doubt(TimePoint aNow, const RunnerPtr& aRunner)
{
  Ask(aNow, aRunner, m_settings.m_askAgain);
}

void
PathDoctor::Ask(TimePoint aNow, const RunnerPtr& aRunner, Duration aNotWithin)
{
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_runner = aRunner;
  if (patient.m_isAsked || aNow - patient.m_askedAt < aNotWithin) {
    return;
  }
  patient.m_isAsked = true;
  patient.m_askedAt = aNow;
  ++m_metrics->Probes();
  asio::co_spawn(m_context, Question(aRunner), asio::detached);
}

void
PathDoctor::AskReturning(TimePoint aNow)
{
  const RunnerTable* table = m_board->Runners();
  for (auto place = m_patients.begin(); place != m_patients.end();) {
    Patient& patient = place->second;
    const Runner* listed =
      table ? table->FindRunner(patient.m_runner->m_id) : nullptr;
    const bool isGone = listed == nullptr || listed->m_incarnation !=
                                               patient.m_runner->m_incarnation;
    if (isGone && !patient.m_isAsked) {
      place = m_patients.erase(place);
      continue;
    }
    const CircuitState circuit = patient.m_runner->m_load->Circuit(aNow);
    const bool isListedDead = !isGone && listed->m_isSuspected;
    if (patient.m_isBelieved && !isListedDead) {
      // It has announced itself since.
      patient.m_isBelieved = false;
      if (circuit != CircuitState::Closed) {
        Ask(aNow, patient.m_runner, Duration::zero());
      }
    } else if (circuit == CircuitState::HalfOpen && isListedDead &&
               m_board->HasLease(aNow)) {
      // Its next announcement will tell.
      patient.m_isBelieved = true;
      patient.m_runner->m_load->OpenCircuitFor(aNow, m_settings.m_belief);
    } else if (circuit == CircuitState::HalfOpen) {
      Ask(aNow, patient.m_runner, Duration::zero());
    } else if (patient.m_pace > kSlowPace) {
      Ask(aNow, patient.m_runner, m_settings.m_askSlowAgain);
    }
    ++place;
  }
}

asio::awaitable<CallResult>
PathDoctor::AskState(RunnerPtr aRunner, ConnectionChoice aChoice)
{
  HttpRequest request(http::verb::get, m_dialect.EngineStatePath(), kHttp11);
  request.set(http::field::host, aRunner->m_address.ToString());
  co_return co_await m_client.Call(aRunner->m_address,
                                   std::move(request),
                                   m_settings.m_answerTimeout,
                                   aChoice);
}

asio::awaitable<void>
PathDoctor::Question(RunnerPtr aRunner)
{
  const TimePoint firstAskedAt = BootClock::now();
  TimePoint askedAt = firstAskedAt;
  CallResult result = co_await AskState(aRunner, ConnectionChoice::Kept);
  if (IsWorthAnother(result, *aRunner)) {
    askedAt = BootClock::now();
    result = co_await AskState(aRunner, ConnectionChoice::Fresh);
  }
  m_patients[KeyOf(*aRunner)].m_isAsked = false;
  m_patients[KeyOf(*aRunner)].m_runner = aRunner;
  std::optional<EngineState> state;
  if (result.m_response && result.m_response->result_int() == kOk) {
    state = m_dialect.ParseEngineState(result.m_response->body());
  }
  const TimePoint now = BootClock::now();
  // An engine that started again answers, but knows nothing of its streams.
  const bool hasStartedAgain = state && state->m_incarnation &&
                               *state->m_incarnation != aRunner->m_incarnation;
  if (hasStartedAgain) {
    NoteDead(now, aRunner, DeathEvidence::Certain, "it has started again");
  } else if (state) {
    NoteAlive(aRunner, *state);
  } else if (result.m_response) {
    NoteDead(
      now, aRunner, DeathEvidence::Certain, "unexpected answer to a question");
  } else if (IsJudgement(askedAt, result) &&
             aRunner->m_load->AnsweredAt() < firstAskedAt) {
    NoteDead(now,
             aRunner,
             result.m_hasTimedOut ? DeathEvidence::Silence
                                  : DeathEvidence::Certain,
             result.m_reason.m_text);
  }
}

bool
PathDoctor::IsWorthAnother(const CallResult& aResult,
                           const Runner& aRunner) const
{
  if (aResult.m_response) {
    return false;
  }
  if (aResult.m_hasTimedOut) {
    return !m_board->IsNear(aRunner);
  }
  return !aResult.IsUnsent();
}

bool
PathDoctor::IsJudgement(TimePoint aAskedAt, const CallResult& aResult) const
{
  const bool isRefused = aResult.m_reason.m_code == CallError::NotConnected &&
                         !aResult.m_hasTimedOut;
  const Duration taken = BootClock::now() - aAskedAt;
  const bool stoodStill =
    m_watch->LastDelay() > m_settings.m_ownPause ||
    taken > m_settings.m_answerTimeout + m_settings.m_ownPause;
  return isRefused || !stoodStill;
}

void
PathDoctor::NoteAlive(const RunnerPtr& aRunner, const EngineState& aState)
{
  const TimePoint now = BootClock::now();
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_avoid = Duration::zero();
  const bool paceChanged =
    (patient.m_pace > kSlowPace) != (aState.m_pace > kSlowPace);
  patient.m_pace = aState.m_pace;
  const bool wasOk = aRunner->m_load->Circuit(now) == CircuitState::Closed;
  aRunner->m_load->CloseCircuit(now);
  if (aState.m_pace > kSlowPace || paceChanged) {
    aRunner->m_load->RecordSlowdown(now, aState.m_pace);
  }
  if (aState.m_pace > kLeavePace) {
    for (const auto& weak : m_streams) {
      if (const ForwardCallPtr stream = weak.lock()) {
        m_rerouter.LeaveSlow(stream, *aRunner);
      }
    }
  }
  if (!wasOk || paceChanged) {
    m_board->InvalidatePaths();
    m_log.Write(DecisionEvent::EndpointCleared, [&](DecisionLine& aLine) {
      aLine.Add("endpoint", aRunner->m_id)
        .Add("why", "it answered a question")
        .Add("pace_percent", static_cast<std::int64_t>(aState.m_pace * 100));
    });
  }
}

void
PathDoctor::Accuse(TimePoint aNow,
                   const RunnerPtr& aRunner,
                   std::string_view aWhy)
{
  NoteDead(aNow, aRunner, DeathEvidence::Certain, aWhy);
}

void
PathDoctor::NoteDead(TimePoint aNow,
                     const RunnerPtr& aRunner,
                     DeathEvidence aEvidence,
                     std::string_view aWhy)
{
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_runner = aRunner;
  patient.m_avoid = std::clamp(
    patient.m_avoid * 2, m_settings.m_avoid, m_settings.m_longestAvoid);
  aRunner->m_load->OpenCircuitFor(aNow, patient.m_avoid);
  m_board->InvalidatePaths();
  m_board->ReportDead(*aRunner, aEvidence);
  patient.m_isBelieved = false;
  LogSuspected(*aRunner, aWhy, patient.m_avoid);
  LeaveDead(aNow);
}

void
PathDoctor::LogSuspected(const Runner& aRunner,
                         std::string_view aWhy,
                         Duration aAvoid)
{
  m_log.Write(DecisionEvent::EndpointSuspected, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aRunner.m_id)
      .Add("address", aRunner.m_address.ToString())
      .Add("why", aWhy)
      .AddMs("avoid_ms", aAvoid);
  });
}

void
PathDoctor::LeaveDead(TimePoint aNow)
{
  for (const auto& weak : m_streams) {
    if (const ForwardCallPtr stream = weak.lock()) {
      MoveIfSilent(aNow, stream);
    }
  }
}

RunnerPtr
PathDoctor::FindByAddress(std::string_view aAddress) const
{
  const RunnerTable* table = m_board->Runners();
  if (table == nullptr || aAddress.empty()) {
    return nullptr;
  }
  for (const RunnerPtr& runner : table->Runners()) {
    if (runner->m_address.ToString() == aAddress) {
      return runner;
    }
  }
  return nullptr;
}

} // namespace parsleycove
