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
}

void
PathDoctor::Follow(const ForwardCallPtr& aStream)
{
  m_streams.push_back(aStream);
}

void
PathDoctor::Check(TimePoint aNow)
{
  if (m_watch->LastDelay() > m_settings.m_ownPause) {
    m_judgeFrom = aNow;
  }
  std::erase_if(m_streams, [](const auto& aStream) {
    const ForwardCallPtr stream = aStream.lock();
    return !stream || stream->End() != CallEnd::None;
  });
  for (const auto& weak : m_streams) {
    if (const ForwardCallPtr stream = weak.lock()) {
      Examine(aNow, *stream);
    }
  }
  AskReturning(aNow);
}

void
PathDoctor::Examine(TimePoint aNow, ForwardCall& aStream)
{
  const TimePoint since = std::max(aStream.ProgressAt(), m_judgeFrom);
  const Duration silent = aNow - since;
  const bool hasBegun = aStream.HasProgress();
  const Duration usual = aStream.UsualGap();
  const Duration askAfter =
    hasBegun ? std::max(m_settings.m_askAfter, usual * m_settings.m_askGaps)
             : m_settings.m_askAfterSending;
  if (silent < askAfter) {
    return;
  }
  for (const PathStage& stage : aStream.Path()->m_stages) {
    // Another stream may have shown since that the engine is alive.
    if (!stage.m_runner->m_load->HasAnsweredSince(since + askAfter / 2)) {
      Ask(aNow, stage.m_runner);
    }
  }
  const Duration moveAfter =
    hasBegun ? std::max(m_settings.m_moveAfter, usual * m_settings.m_moveGaps)
             : m_settings.m_moveAfterSending;
  if (silent >= moveAfter && aStream.ClaimMove()) {
    aStream.Abort(CallEnd::Stalled);
  }
}

void
PathDoctor::Ask(TimePoint aNow, const RunnerPtr& aRunner)
{
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_runner = aRunner;
  if (patient.m_isAsked || aNow - patient.m_askedAt < m_settings.m_askAgain) {
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
    if (patient.m_runner->m_load->Circuit(aNow) == CircuitState::HalfOpen) {
      Ask(aNow, patient.m_runner);
    }
    ++place;
  }
}

asio::awaitable<void>
PathDoctor::Question(RunnerPtr aRunner)
{
  HttpRequest request(http::verb::get, m_dialect.StatePath(), kHttp11);
  request.set(http::field::host, aRunner->m_address.ToString());
  const CallResult result = co_await m_client.Call(aRunner->m_address,
                                                   std::move(request),
                                                   m_settings.m_answerTimeout,
                                                   ConnectionChoice::Kept);
  m_patients[KeyOf(*aRunner)].m_isAsked = false;
  m_patients[KeyOf(*aRunner)].m_runner = aRunner;
  std::optional<EngineState> state;
  if (result.m_response && result.m_response->result_int() == kOk) {
    state = m_dialect.ReadState(result.m_response->body());
  }
  if (state) {
    NoteAlive(aRunner, *state);
  } else if (m_watch->LastDelay() <= m_settings.m_ownPause ||
             result.IsUnsent()) {
    NoteDead(BootClock::now(),
             aRunner,
             result.m_response ? "unexpected answer to a question"
                               : result.m_reason.m_text);
  }
}

void
PathDoctor::NoteAlive(const RunnerPtr& aRunner, const EngineState& aState)
{
  const TimePoint now = BootClock::now();
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_avoid = Duration::zero();
  const bool wasOk = aRunner->m_load->Circuit(now) == CircuitState::Ok;
  aRunner->m_load->Clear(now);
  if (aState.m_pace > kSlowPace) {
    aRunner->m_load->NotePace(now, aState.m_pace);
  }
  if (!wasOk) {
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
  NoteDead(aNow, aRunner, aWhy);
}

void
PathDoctor::NoteDead(TimePoint aNow,
                     const RunnerPtr& aRunner,
                     std::string_view aWhy)
{
  Patient& patient = m_patients[KeyOf(*aRunner)];
  patient.m_runner = aRunner;
  patient.m_avoid = std::clamp(
    patient.m_avoid * 2, m_settings.m_avoid, m_settings.m_longestAvoid);
  aRunner->m_load->Suspect(aNow, patient.m_avoid);
  m_board->InvalidatePaths();
  m_log.Write(DecisionEvent::EndpointSuspected, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aRunner->m_id)
      .Add("address", aRunner->m_address.ToString())
      .Add("why", aWhy)
      .AddMs("avoid_ms", patient.m_avoid);
  });
  for (const auto& weak : m_streams) {
    const ForwardCallPtr stream = weak.lock();
    const bool isStuck = stream && stream->End() == CallEnd::None &&
                         stream->Path()->Uses(aRunner->m_id);
    if (isStuck && stream->ClaimMove()) {
      stream->Abort(CallEnd::StageLost);
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
