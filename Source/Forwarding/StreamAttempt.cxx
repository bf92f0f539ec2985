// Runs one attempt of a stream's request.
#include "Forwarding/StreamForwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "Forwarding/EngineFailureDetector.h"
#include "Forwarding/NoticeRecorder.h"
#include "Forwarding/PromptPartReporter.h"
#include "Forwarding/ReachMonitor.h"

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
constexpr unsigned kBadGateway = 502;
constexpr unsigned kFirstClientError = 400;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
// A stream with more pending bytes than this and no end of an event is broken.
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
// An error answer with a longer body is broken.
constexpr std::size_t kMaxErrorBytes = 1024UL * 1024;
// Initial estimate of a stream's arrival gap, in decode steps of an idle path:
// an event holds two tokens, and the engines may be busy.
constexpr double kInitialGapSteps = 5;
// Ejection time of an engine that refuses for lack of memory or time; some of
// its streams end within this time.
constexpr Duration kRefusalEjection = std::chrono::milliseconds(150);
// Ejection time of an engine that no longer holds its layers; within this time
// the engine announces the layers that it holds.
constexpr Duration kMovedStageEjection = std::chrono::milliseconds(1300);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

void
AppendChunk(std::string& aOut, std::string_view aBytes)
{
  std::array<char, 20> size{};
  const int length =
    std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  aOut.append(size.data(), static_cast<std::size_t>(std::max(length, 0)));
  aOut.append(aBytes).append("\r\n");
}

} // namespace

asio::awaitable<AttemptOutcome>
StreamForwarder::RunAttempt(StagePathPtr aPath)
{
  const RunnerPtr first = aPath->m_stages.front().m_runner;
  m_isDemandCounted = false;
  ForwardHeaders headers;
  headers.m_lastEventId = m_events.LastId();
  headers.m_isResumed = m_hasSentHeader;
  const EndpointCallPtr call = co_await StartCall(
    m_request,
    first,
    aPath,
    headers,
    std::min<Duration>(kConnectTimeout, m_request.TimeLeft() / 2));
  if (!call) {
    m_request.m_excluded.push_back(first->m_id);
    if (!m_request.m_caller->IsDisconnected()) {
      ReportUnreachable(first);
    }
    co_return AttemptOutcome::NotExecuted;
  }
  m_pathWaitUntil = TimePoint{};
  ++m_request.m_attempts;
  ++m_possibleExecutions;
  m_hasRetryClaim = false;
  call->SetDeadline(m_request.Deadline());
  call->SetFirstEventTarget(m_request.m_route->m_target);
  if (!first->m_isGateway) {
    m_firstRunners.Add(first);
  }
  call->SetAverageArrivalGap(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aPath->m_stepMs *
                                              kInitialGapSteps)));
  if (m_silentCalls.HasAnswered()) {
    call->Abort(CallEnd::Superseded);
  }
  co_return co_await FollowCall(call);
}

void
StreamForwarder::EndSuccessor()
{
  if (const EndpointCallPtr& call = m_request.m_call;
      call && call->MayHaveArrived()) {
    call->Abort(CallEnd::Superseded);
  }
}

asio::awaitable<AttemptOutcome>
StreamForwarder::FollowCall(EndpointCallPtr aCall)
{
  m_request.m_call = aCall;
  aCall->SetMoveClaim([this] { return ClaimMove(); });
  m_services.m_failureDetector.TrackStream(aCall);
  if (m_request.m_caller->IsDisconnected()) {
    aCall->Abort(CallEnd::CallerGone);
  }
  const AttemptOutcome outcome = co_await Receive(*aCall);
  m_request.m_path = aCall->Path();
  m_request.m_call = nullptr;
  aCall->SetMoveClaim(nullptr);
  if (outcome == AttemptOutcome::Silent) {
    co_return outcome;
  }
  const TimePoint now = BootClock::now();
  aCall->Release(now);
  if (outcome != AttemptOutcome::NotExecuted) {
    m_serviceState.m_returns.RecordFreed(now);
  }
  co_return outcome;
}

asio::awaitable<AttemptOutcome>
StreamForwarder::FollowSilentCall()
{
  std::string unusedBytes;
  const EndpointCallPtr call = co_await m_silentCalls.Resume(unusedBytes);
  if (!call) {
    co_return AttemptOutcome::Broken;
  }
  m_moveNotBefore = BootClock::now() + m_stay;
  m_stay *= 2;
  m_events.RestorePartialEvent(std::move(unusedBytes));
  m_request.m_lastEndpoint = call->Target()->m_id;
  m_services.m_log.Write(DecisionEvent::StreamStays, [&](DecisionLine& aLine) {
    aLine.Add("id", m_request.m_headers.m_attemptId)
      .Add("endpoint", call->Target()->m_id)
      .Add("why", m_request.m_lastFault)
      .AddMs("silent_ms", BootClock::now() - call->ProgressAt());
  });
  ++m_services.m_metrics.Stays();
  co_return co_await FollowCall(call);
}

void
StreamForwarder::ReportUnreachable(const RunnerPtr& aFirst)
{
  const TimePoint now = BootClock::now();
  if (m_request.m_call->HasConnectTimedOut()) {
    m_services.m_failureDetector.ReportUnresponsive(now, aFirst);
  } else {
    m_services.m_failureDetector.ReportFailure(
      now, aFirst, "connection_refused");
  }
}

asio::awaitable<AttemptOutcome>
StreamForwarder::Receive(EndpointCall& aCall)
{
  if (!co_await aCall.ReadHeader()) {
    co_return RecordBrokenCall(aCall);
  }
  const EndpointCall::Header& answer = aCall.Answer();
  const unsigned status = answer.result_int();
  const AnswerHeaders headers =
    m_services.m_dialect.ParseAnswerHeaders(status, answer);
  if (IsForeignAnswer(m_request, aCall, headers)) {
    aCall.Abort(CallEnd::Foreign);
    co_return RecordBrokenCall(aCall);
  }
  if (aCall.Target()->m_isGateway) {
    if (const auto cause = ReadHelperRefusal(answer)) {
      co_return HandleHelperRefusal(aCall, *cause, headers);
    }
    if (!IsSuccess(status) || !headers.m_isSigned) {
      co_return co_await HandleErrorAnswer(aCall);
    }
    co_return co_await RelayEvents(aCall);
  }
  ReachMonitor::RecordReached(BootClock::now(), *aCall.Target());
  if (headers.m_load) {
    aCall.Target()->m_load->RecordReport(
      BootClock::now(), headers.m_load->m_waiting, headers.m_load->m_running);
  }
  m_services.m_notices.Record(
    BootClock::now(),
    AnswerOrigin{ AnswerKind::Request, aCall.SentAt() },
    aCall.Target(),
    m_services.m_failureDetector.FindByAddress(headers.m_faultAddress),
    headers);
  if (headers.m_isNotExecuted) {
    co_return HandleRefusal(aCall, headers);
  }
  if (!IsSuccess(status) || !headers.m_isSigned) {
    co_return co_await HandleErrorAnswer(aCall);
  }
  co_return co_await RelayEvents(aCall);
}

AttemptOutcome
StreamForwarder::HandleRefusal(EndpointCall& aCall,
                               const AnswerHeaders& aHeaders)
{
  --m_possibleExecutions;
  aCall.RecordRefusal();
  m_events.DiscardPartialEvent();
  const TimePoint now = BootClock::now();
  // The engine has failed, is leaving, is giving up its layers or is short of
  // memory. Only a failure affects the streams that the engine already serves,
  // so the engine is probed and not reported as failed.
  RunnerPtr faulty =
    m_services.m_failureDetector.FindByAddress(aHeaders.m_faultAddress);
  if (!faulty) {
    faulty = aCall.Target();
  }
  const bool isMoved = aHeaders.m_isMisdirected;
  faulty->m_load->EjectFor(now,
                           isMoved ? kMovedStageEjection : kRefusalEjection);
  m_serviceState.m_paths.Invalidate();
  const bool hasJustAnswered = faulty == aCall.Target() && !isMoved;
  if (!hasJustAnswered) {
    m_services.m_failureDetector.ReportUnresponsive(now, faulty);
  }
  m_request.m_excluded.push_back(faulty->m_id);
  m_request.m_lastFault = isMoved ? "stage_moved" : "endpoint_refused";
  return AttemptOutcome::NotExecuted;
}

AttemptOutcome
StreamForwarder::HandleHelperRefusal(EndpointCall& aCall,
                                     RefusalCause aCause,
                                     const AnswerHeaders& aHeaders)
{
  --m_possibleExecutions;
  --m_request.m_attempts;
  aCall.RecordRefusal();
  m_events.DiscardPartialEvent();
  // The call reached no endpoint, so the retry that was charged for it is left
  // for the next one.
  m_hasRetryClaim = true;
  m_request.m_excluded.push_back(aCall.Target()->m_id);
  m_request.m_lastFault = NameOfCause(aCause);
  if (IsHelperFault(aCause)) {
    m_services.m_reach.RecordHelperRefusal(
      BootClock::now(), *aCall.Target(), m_request.m_service, aCause);
  } else if (!m_hasSentHeader) {
    m_helperCause = aCause;
    m_request.m_availableAt =
      BootClock::now() + aHeaders.m_pause.value_or(Duration::zero());
  }
  return AttemptOutcome::NotExecuted;
}

asio::awaitable<AttemptOutcome>
StreamForwarder::HandleErrorAnswer(EndpointCall& aCall)
{
  // A kept call may have read a part of the body as if it were events.
  std::string body = m_events.TakePartialEvent();
  aCall.SetKeptBytes(0);
  while (co_await aCall.ReadBody(body)) {
    if (body.size() > kMaxErrorBytes) {
      aCall.Abort(CallEnd::Broken);
    }
  }
  if (aCall.End() == CallEnd::OverBudget) {
    co_return RecordBrokenCall(aCall);
  }
  const unsigned status = aCall.Answer().result_int();
  // The VM that took the request over has tried other endpoints.
  const bool mayRetry = !aCall.Target()->m_isGateway &&
                        m_request.m_route->m_isResumable &&
                        m_possibleExecutions < m_request.m_route->m_maxAttempts;
  if (m_hasSentHeader || mayRetry || aCall.End() != CallEnd::None) {
    m_request.m_excluded.push_back(aCall.Target()->m_id);
    m_lastEnd = CallEnd::Broken;
    m_request.m_lastFault = "endpoint_failed";
    co_return AttemptOutcome::Broken;
  }
  const bool isRelayed = status >= kFirstClientError &&
                         !m_services.m_dialect.IsNotExecutedStatus(status);
  m_request.m_status = isRelayed ? status : kBadGateway;
  m_request.m_end = RequestEnd::Failed;
  m_request.m_why = "the endpoint answered " + std::to_string(status);
  std::string out = MakeAnswerHeader(m_request,
                                     m_request.m_status,
                                     aCall.Answer(),
                                     static_cast<std::int64_t>(body.size()));
  co_await WriteAnswer(
    m_request, aCall, std::move(out.append(body)), kWriteTimeout);
  co_return AttemptOutcome::Finished;
}

asio::awaitable<AttemptOutcome>
StreamForwarder::RelayEvents(EndpointCall& aCall)
{
  m_request.m_status = aCall.Answer().result_int();
  std::string bytes;
  if (m_events.HasPartialEvent()) {
    // A kept call may have read whole events meanwhile.
    const bool isConnected = co_await RelayBytes(aCall, bytes);
    if (!isConnected) {
      co_return AttemptOutcome::Finished;
    }
    aCall.SetKeptBytes(m_events.PendingBytes());
  }
  while (co_await aCall.ReadBody(bytes)) {
    if (!co_await RelayBytes(aCall, bytes)) {
      co_return AttemptOutcome::Finished;
    }
    bytes.clear();
    aCall.SetKeptBytes(m_events.PendingBytes());
    if (m_events.PendingBytes() > kMaxEventBytes) {
      aCall.Abort(CallEnd::Broken);
    }
  }
  if (aCall.End() != CallEnd::None) {
    co_return RecordBrokenCall(aCall);
  }
  if (m_events.HasPartialEvent()) {
    // The answer ended within an event, so it is incomplete.
    m_lastEnd = CallEnd::Broken;
    m_request.m_lastFault = NameOfEnd(m_lastEnd);
    m_events.DiscardPartialEvent();
    co_return AttemptOutcome::Broken;
  }
  std::string out;
  if (!m_hasSentHeader) {
    out = MakeAnswerHeader(m_request, m_request.m_status, aCall.Answer(), -1);
    m_hasSentHeader = true;
  }
  const bool written =
    co_await m_request.m_caller->Write(out.append(kLastChunk), kWriteTimeout);
  m_request.m_end = written ? RequestEnd::Answered : RequestEnd::CallerGone;
  co_return AttemptOutcome::Finished;
}

void
StreamForwarder::RecordGap(const EndpointCall& aCall, Duration aGap)
{
  m_request.m_longestGap = std::max(m_request.m_longestGap, aGap);
  m_services.m_metrics.RecordEventGap(aGap);
  const Duration target = m_request.m_route->m_gapTarget;
  if (target > Duration::zero() && aGap > target) {
    const bool hasMoved = aCall.Path() != m_lastEventPath;
    ++m_services.m_metrics.Pauses(hasMoved);
    ++(hasMoved ? m_request.m_pausesMoved : m_request.m_pausesInPlace);
  }
}

asio::awaitable<bool>
StreamForwarder::RelayBytes(EndpointCall& aCall, std::string_view aBytes)
{
  std::string events;
  if (m_events.ExtractEvents(aBytes, events) == 0) {
    co_return true;
  }
  m_silentCalls.DropAll();
  const TimePoint now = BootClock::now();
  aCall.RecordEvents(now);
  aCall.MarkPrefillDone();
  RecordProgress(aCall);
  std::string out;
  if (!m_hasSentHeader) {
    m_hasSentHeader = true;
    m_request.m_firstAnswerDelay = now - m_request.m_arrival;
    m_services.m_promptParts.RecordBegun(now, m_request.Parts());
    const Duration target = m_request.m_route->m_target;
    if (target > Duration::zero() && m_request.m_firstAnswerDelay > target) {
      ++m_services.m_metrics.LateFirstEvents();
    }
    m_services.m_metrics.RecordFirstAnswer(m_request.m_route->m_kind,
                                           m_request.m_firstAnswerDelay);
    if (aCall.Target()->m_isGateway) {
      m_services.m_metrics.RecordPassedOnAnswer(m_request.m_firstAnswerDelay);
    }
    out = MakeAnswerHeader(m_request, m_request.m_status, aCall.Answer(), -1);
  } else {
    RecordGap(aCall, now - m_lastEventAt);
  }
  m_lastEventAt = now;
  m_lastEventPath = aCall.Path();
  AppendChunk(out, events);
  if (co_await WriteAnswer(m_request, aCall, std::move(out), kWriteTimeout)) {
    co_return true;
  }
  m_request.m_end = EndOfUnwritten(m_request, aCall);
  aCall.Abort(CallEnd::CallerGone);
  co_return false;
}

void
StreamForwarder::RecordProgress(const EndpointCall& aCall)
{
  for (const PathStage& stage : aCall.Path()->m_stages) {
    stage.m_runner->m_load->RecordAnswer(aCall.ProgressAt());
    stage.m_runner->m_load->RecordEvent(aCall.ProgressAt());
  }
}

AttemptOutcome
StreamForwarder::RecordBrokenCall(EndpointCall& aCall)
{
  const CallEnd end = aCall.End();
  if (end == CallEnd::CallerGone) {
    m_request.m_end = RequestEnd::CallerGone;
    return AttemptOutcome::Finished;
  }
  std::string partialEvent = m_events.TakePartialEvent();
  aCall.SetKeptBytes(0);
  if (end == CallEnd::Superseded) {
    return AttemptOutcome::Broken;
  }
  m_lastEnd = end;
  m_request.m_lastFault = NameOfEnd(end);
  if (end == CallEnd::OverBudget) {
    return AttemptOutcome::Broken;
  }
  if (!aCall.HasProgress() && !aCall.Target()->m_isGateway) {
    RecordUnanswered(aCall);
  }
  if (end == CallEnd::Stalled) {
    m_services.m_pool.CloseIdle(*aCall.Target());
  }
  if (end != CallEnd::StageLost) {
    m_request.m_excluded.push_back(aCall.Target()->m_id);
  }
  if (end == CallEnd::Broken && !aCall.Target()->m_isGateway) {
    const TimePoint now = BootClock::now();
    m_firstRunners.RecordBroken(now, *aCall.Target());
    m_services.m_failureDetector.ReportBroken(now, aCall.Target());
  }
  if (aCall.IsSuspended()) {
    m_silentCalls.Keep(
      aCall.shared_from_this(),
      std::move(partialEvent),
      [after = m_events.LastId()](const std::string& aUnusedBytes,
                                  bool aIsEnded) {
        std::string events;
        EventSplitter splitter(after);
        return splitter.ExtractEvents(aUnusedBytes, events) != 0 ||
               (aIsEnded && !splitter.HasPartialEvent());
      },
      [this] { EndSuccessor(); });
    return AttemptOutcome::Silent;
  }
  return AttemptOutcome::Broken;
}

} // namespace parsleycove
