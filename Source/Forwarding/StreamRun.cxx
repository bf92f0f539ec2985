// Follows one sending of a stream's request.
#include "Forwarding/StreamForwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "Forwarding/PathDoctor.h"

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
constexpr unsigned kBadGateway = 502;
constexpr unsigned kFirstClientError = 400;
// An event that does not end within this is no event.
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
// A new stream's gap, in steps through an idle path: two tokens an event, and
// engines that are busy.
constexpr double kGapSteps = 5;
// An engine that refuses for want of memory or of time gets no new request for
// so long; some streams end within it.
constexpr Duration kFullShun = std::chrono::milliseconds(150);
// One that no longer holds its part, until it has announced what it holds.
constexpr Duration kMovedShun = std::chrono::milliseconds(1300);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

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

asio::awaitable<RunVerdict>
StreamForwarder::Try(StagePathPtr aPath)
{
  const RunnerPtr first = aPath->m_stages.front().m_runner;
  ForwardHeaders headers;
  headers.m_lastEventId = m_events.LastId();
  headers.m_isResumed = m_hasBegun;
  const ForwardCallPtr call = co_await StartCall(
    m_job,
    first,
    aPath,
    headers,
    std::min<Duration>(kConnectTimeout, m_job.TimeLeft() / 2));
  if (!call) {
    m_job.m_excluded.push_back(first->m_id);
    if (!m_job.m_caller->IsDisconnected()) {
      NoteUnreachable(first);
    }
    co_return RunVerdict::NotRun;
  }
  m_waitsUntil = TimePoint{};
  ++m_job.m_attempts;
  ++m_runs;
  call->SetDeadline(m_job.m_deadline);
  if (std::find(m_usedFirst.begin(), m_usedFirst.end(), first->m_id) ==
      m_usedFirst.end()) {
    m_usedFirst.push_back(first->m_id);
  }
  call->SetUsualGap(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aPath->m_stepMs * kGapSteps)));
  call->SetMoveClaim([this] { return ClaimMove(); });
  m_services.m_doctor.Follow(call);
  const RunVerdict verdict = co_await Receive(*call);
  m_job.m_path = call->Path();
  m_job.m_call = nullptr;
  call->SetMoveClaim(nullptr);
  call->Release(BootClock::now());
  co_return verdict;
}

void
StreamForwarder::NoteUnreachable(const RunnerPtr& aFirst)
{
  const TimePoint now = BootClock::now();
  if (m_job.m_call->HasConnectTimedOut()) {
    m_services.m_doctor.Doubt(now, aFirst);
  } else {
    m_services.m_doctor.Accuse(now, aFirst, "connection_refused");
  }
}

asio::awaitable<RunVerdict>
StreamForwarder::Receive(ForwardCall& aCall)
{
  if (!co_await aCall.ReadHeader()) {
    co_return NoteBroken(aCall);
  }
  const ForwardCall::Header& answer = aCall.Answer();
  const unsigned status = answer.result_int();
  const AnswerHeaders headers =
    m_services.m_dialect.ParseAnswerHeaders(status, answer);
  const bool isForeign = headers.m_attemptId.empty()
                           ? status < kFirstClientError
                           : headers.m_attemptId != m_job.m_headers.m_attemptId;
  if (isForeign) {
    aCall.Abort(CallEnd::Foreign);
    co_return NoteBroken(aCall);
  }
  if (headers.m_load) {
    aCall.Target()->m_load->RecordReport(
      BootClock::now(), headers.m_load->m_waiting, headers.m_load->m_running);
  }
  if (headers.m_isNotExecuted) {
    co_return NoteRefused(aCall, headers);
  }
  if (status >= kFirstClientError || !headers.m_isSigned) {
    co_return co_await NoteFailure(aCall);
  }
  co_return co_await RelayEvents(aCall);
}

RunVerdict
StreamForwarder::NoteRefused(ForwardCall& aCall, const AnswerHeaders& aHeaders)
{
  --m_runs;
  const TimePoint now = BootClock::now();
  // Dead, leaving, giving up its layers or short of memory: only the first
  // concerns the streams that it has.
  RunnerPtr faulty = m_services.m_doctor.FindByAddress(aHeaders.m_faultAddress);
  if (!faulty) {
    faulty = aCall.Target();
  }
  const bool isElsewhere = aHeaders.m_isMisdirected;
  faulty->m_load->EjectFor(now, isElsewhere ? kMovedShun : kFullShun);
  m_desk.m_paths.Invalidate();
  m_services.m_doctor.Doubt(now, faulty);
  m_job.m_excluded.push_back(faulty->m_id);
  m_job.m_lastFault = isElsewhere ? "stage_moved" : "endpoint_refused";
  return RunVerdict::NotRun;
}

asio::awaitable<RunVerdict>
StreamForwarder::NoteFailure(ForwardCall& aCall)
{
  std::string body;
  while (co_await aCall.ReadBody(body) && body.size() < kMaxEventBytes) {
  }
  const unsigned status = aCall.Answer().result_int();
  const bool mayRepeat =
    m_job.m_route->m_isResumable && m_runs < m_job.m_route->m_maxAttempts;
  if (m_hasBegun || mayRepeat || aCall.End() != CallEnd::None) {
    m_job.m_excluded.push_back(aCall.Target()->m_id);
    m_lastEnd = CallEnd::Broken;
    m_job.m_lastFault = "endpoint_failed";
    co_return RunVerdict::Broken;
  }
  const bool isPassedOn = status >= kFirstClientError &&
                          !m_services.m_dialect.IsNotExecutedStatus(status);
  m_job.m_status = isPassedOn ? status : kBadGateway;
  m_job.m_end = RequestEnd::Failed;
  m_job.m_why = "the endpoint answered " + std::to_string(status);
  std::string out = MakeAnswerHeader(m_job,
                                     m_job.m_status,
                                     aCall.Answer(),
                                     static_cast<std::int64_t>(body.size()));
  co_await m_job.m_caller->Write(out.append(body), kWriteTimeout);
  co_return RunVerdict::Ended;
}

asio::awaitable<RunVerdict>
StreamForwarder::RelayEvents(ForwardCall& aCall)
{
  m_job.m_status = aCall.Answer().result_int();
  std::string bytes;
  while (co_await aCall.ReadBody(bytes)) {
    NoteProgress(aCall);
    aCall.NoteRead();
    if (!co_await PassOn(aCall, bytes)) {
      co_return RunVerdict::Ended;
    }
    bytes.clear();
    if (m_events.HasGap() || m_events.PendingBytes() > kMaxEventBytes) {
      aCall.Abort(CallEnd::Broken);
    }
  }
  if (aCall.End() != CallEnd::None) {
    co_return NoteBroken(aCall);
  }
  if (m_events.HasPart()) {
    // It ended within an event, so it is not whole.
    m_lastEnd = CallEnd::Broken;
    m_job.m_lastFault = NameOfEnd(m_lastEnd);
    m_events.DropPart();
    co_return RunVerdict::Broken;
  }
  std::string out;
  if (!m_hasBegun) {
    out = MakeAnswerHeader(m_job, m_job.m_status, aCall.Answer(), -1);
    m_hasBegun = true;
  }
  const bool written =
    co_await m_job.m_caller->Write(out.append(kLastChunk), kWriteTimeout);
  m_job.m_end = written ? RequestEnd::Answered : RequestEnd::CallerGone;
  co_return RunVerdict::Ended;
}

asio::awaitable<bool>
StreamForwarder::PassOn(ForwardCall& aCall, std::string_view aBytes)
{
  std::string events;
  if (m_events.Take(aBytes, events) == 0) {
    co_return true;
  }
  const TimePoint now = BootClock::now();
  std::string out;
  if (!m_hasBegun) {
    m_hasBegun = true;
    m_job.m_firstAfter = now - m_job.m_arrival;
    m_services.m_metrics.RecordFirstAnswer(m_job.m_route->m_kind,
                                           m_job.m_firstAfter);
    out = MakeAnswerHeader(m_job, m_job.m_status, aCall.Answer(), -1);
  } else {
    m_job.m_longestGap = std::max(m_job.m_longestGap, now - m_lastEventAt);
    m_services.m_metrics.RecordEventGap(now - m_lastEventAt);
  }
  m_lastEventAt = now;
  AppendChunk(out, events);
  if (co_await m_job.m_caller->Write(std::move(out), kWriteTimeout)) {
    co_return true;
  }
  m_job.m_end = RequestEnd::CallerGone;
  aCall.Abort(CallEnd::CallerGone);
  co_return false;
}

void
StreamForwarder::NoteProgress(const ForwardCall& aCall)
{
  for (const PathStage& stage : aCall.Path()->m_stages) {
    stage.m_runner->m_load->RecordAnswer(aCall.ProgressAt());
  }
}

RunVerdict
StreamForwarder::NoteBroken(ForwardCall& aCall)
{
  const CallEnd end = aCall.End();
  if (end == CallEnd::CallerGone) {
    m_job.m_end = RequestEnd::CallerGone;
    return RunVerdict::Ended;
  }
  m_lastEnd = end;
  m_job.m_lastFault = NameOfEnd(end);
  m_events.DropPart();
  if (end == CallEnd::Stalled) {
    m_services.m_pool.Drop(*aCall.Target());
  }
  if (end != CallEnd::StageLost) {
    m_job.m_excluded.push_back(aCall.Target()->m_id);
  }
  if (end == CallEnd::Broken) {
    std::erase(m_usedFirst, aCall.Target()->m_id);
  }
  return RunVerdict::Broken;
}

} // namespace parsleycove
