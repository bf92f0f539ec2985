// Forwards a request whose answer is a series of events.
#include "Forwarding/StreamForwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Forwarding/EventSplitter.h"
#include "Forwarding/PathDoctor.h"

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstClientError = 400;
// Sendings that reached nobody, or that were refused, before giving up.
constexpr std::size_t kMaxRefusals = 2;
// An event that does not end within this is no event.
constexpr std::size_t kMaxEventBytes = 1024UL * 1024;
// Runs of one request, whatever broke them off.
constexpr std::uint32_t kMaxRuns = 4;
// A new stream's gap, in steps through an idle path: two tokens an event, and
// engines that are busy.
constexpr double kGapSteps = 5;
// An engine that refuses for want of memory or of time gets no new request for
// so long; some streams end within it.
constexpr Duration kFullShun = std::chrono::milliseconds(150);
// One that no longer holds its part, until it has announced what it holds.
constexpr Duration kMovedShun = std::chrono::milliseconds(1300);
constexpr Duration kPathWait = std::chrono::milliseconds(1600);
constexpr Duration kPathLook = std::chrono::milliseconds(10);
// Part of the target for the first event that a request may wait for room.
constexpr int kFullWaitPart = 2;
// How long a stream without a run is kept for another one.
constexpr Duration kResumeWait = std::chrono::milliseconds(1800);
constexpr Duration kResumeLook = std::chrono::milliseconds(60);
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

enum class RunVerdict
{
  // The answer is complete, or nothing more can be done for the caller.
  Ended,
  // Never ran.
  NotRun,
  // Ran, and broke off.
  Broken,
};

class StreamForwarder
{
public:
  explicit StreamForwarder(RequestJob& aJob)
    : m_job(aJob)
    , m_services(aJob.m_services)
    , m_desk(aJob.m_services.m_board.DeskOf(aJob.m_service))
    , m_events(aJob.m_marks.m_lastEventId)
  {
  }

  asio::awaitable<void> Run()
  {
    m_desk.m_retries.RecordRequest(BootClock::now());
    for (;;) {
      if (m_job.m_caller->IsGone()) {
        m_job.m_end = RequestEnd::CallerGone;
        co_return;
      }
      if (m_job.IsOutOfTime()) {
        co_await GiveUp(RefusalCause::OutOfTime);
        co_return;
      }
      const PathChoice choice = ChoosePath();
      if (!choice.m_path) {
        if (!co_await WaitForPath(choice.m_isFull)) {
          co_await GiveUp(choice.m_isFull ? RefusalCause::PathsFull
                                          : RefusalCause::NoPath);
          co_return;
        }
        continue;
      }
      const RunVerdict verdict = co_await Try(choice.m_path);
      if (verdict == RunVerdict::Ended) {
        co_return;
      }
      if (!MayTryAgain(verdict) && !co_await WaitToResume()) {
        co_await GiveUp(RefusalCause::EndpointsRefuse);
        co_return;
      }
    }
  }

private:
  std::uint32_t ExpectedTokens() const
  {
    const CallerMarks& marks = m_job.m_marks;
    const std::uint32_t answer = marks.m_expectedAnswerTokens != 0
                                   ? marks.m_expectedAnswerTokens
                                   : marks.m_maxAnswerTokens / 2;
    return marks.m_promptTokens + answer;
  }

  PathChoice ChoosePath()
  {
    PathRequest request;
    request.m_tokens = ExpectedTokens();
    request.m_gateways = m_services.m_board.Gateways();
    request.m_excluded = m_job.m_excluded;
    const TimePoint now = BootClock::now();
    request.m_isAllowed = [this](const StagePath& aPath) {
      return MayBeginAt(aPath);
    };
    PathChoice choice = m_desk.m_paths.Choose(now, request);
    if (!choice.m_path && !choice.m_isFull && !m_job.m_excluded.empty()) {
      // Better an endpoint that refused before than none.
      m_job.m_excluded.clear();
      request.m_excluded.clear();
      choice = m_desk.m_paths.Choose(now, request);
    }
    return choice;
  }

  // Paths come back within about a second: an engine loads the layers of one
  // that was lost. A full path has room as soon as a stream ends. False once
  // that has been waited for.
  asio::awaitable<bool> WaitForPath(bool aIsFull)
  {
    const TimePoint now = BootClock::now();
    if (m_waitsUntil == TimePoint{}) {
      const Duration most =
        aIsFull ? std::max(m_job.m_route->m_target / kFullWaitPart, kPathLook)
                : kPathWait;
      m_waitsUntil = now + std::min<Duration>(most, m_job.TimeLeft() / 3);
    }
    if (now >= m_waitsUntil) {
      co_return false;
    }
    asio::steady_timer timer(m_services.m_context, kPathLook);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_services.m_board.Refresh(BootClock::now());
    co_return true;
  }

  // A caller who has had events waits about two seconds for the next one. The
  // budget grows meanwhile, and engines that refuse get room.
  asio::awaitable<bool> WaitToResume()
  {
    const TimePoint until = m_lastEventAt + kResumeWait;
    asio::steady_timer timer(m_services.m_context);
    while (m_hasBegun && m_job.m_route->m_isResumable && m_runs < kMaxRuns &&
           BootClock::now() < until && !m_job.IsOutOfTime()) {
      timer.expires_after(kResumeLook);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (m_job.m_caller->IsGone()) {
        co_return true; // noticed at once by the loop
      }
      m_job.m_excluded.clear();
      if (ClaimMove()) {
        m_hasClaimed = false;
        co_return true;
      }
    }
    co_return false;
  }

  bool MayTryAgain(RunVerdict aVerdict)
  {
    if (aVerdict == RunVerdict::NotRun && ++m_refusals > kMaxRefusals) {
      return false;
    }
    if (aVerdict == RunVerdict::Broken &&
        (!m_job.m_route->m_isResumable || m_runs >= kMaxRuns)) {
      return false;
    }
    if (m_job.m_caller->IsGone()) {
      return true; // noticed at once by the loop
    }
    return m_job.m_attempts == 0 || std::exchange(m_hasClaimed, false) ||
           m_desk.m_retries.Spend(BootClock::now(),
                                  m_services.m_board.Gateways());
  }

  // Whether the stream may go to another path now; takes what that needs.
  bool ClaimMove()
  {
    const bool mayMove = m_job.m_route->m_isResumable && m_runs < kMaxRuns &&
                         !m_job.m_caller->IsGone() && !m_job.IsOutOfTime() &&
                         ChoosePath().m_path;
    m_hasClaimed =
      mayMove &&
      (m_hasClaimed ||
       m_desk.m_retries.Spend(BootClock::now(), m_services.m_board.Gateways()));
    return m_hasClaimed;
  }

  // Runners that have run the request and are still there count against the
  // route's limit; a path may begin at one of them again.
  bool MayBeginAt(const StagePath& aPath) const
  {
    const auto& used = m_usedFirst;
    return used.size() < m_job.m_route->m_maxAttempts ||
           std::find(used.begin(), used.end(), aPath.First().m_id) !=
             used.end();
  }

  asio::awaitable<RunVerdict> Try(StagePathPtr aPath)
  {
    const RunnerPtr first = aPath->m_stages.front().m_runner;
    const PathHold hold(aPath, ExpectedTokens());
    ForwardMarks marks;
    marks.m_lastEventId = m_events.LastId();
    marks.m_isResumed = m_hasBegun;
    const ForwardCallPtr call = co_await StartCall(
      m_job,
      first,
      aPath,
      marks,
      std::min<Duration>(kConnectTimeout, m_job.TimeLeft() / 2));
    if (!call) {
      m_job.m_excluded.push_back(first->m_id);
      if (!m_job.m_caller->IsGone()) {
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
    m_job.m_call = nullptr;
    call->SetMoveClaim(nullptr);
    call->Release(BootClock::now());
    co_return verdict;
  }

  void NoteUnreachable(const RunnerPtr& aFirst)
  {
    const TimePoint now = BootClock::now();
    if (m_job.m_call->HasConnectTimedOut()) {
      m_services.m_doctor.Doubt(now, aFirst);
    } else {
      m_services.m_doctor.Accuse(now, aFirst, "connection_refused");
    }
  }

  asio::awaitable<RunVerdict> Receive(ForwardCall& aCall)
  {
    if (!co_await aCall.ReadHeader()) {
      co_return NoteBroken(aCall);
    }
    const ForwardCall::Header& answer = aCall.Answer();
    const unsigned status = answer.result_int();
    const AnswerMarks marks = m_services.m_dialect.ReadAnswer(status, answer);
    const bool isForeign = marks.m_attemptId.empty()
                             ? status < kFirstClientError
                             : marks.m_attemptId != m_job.m_marks.m_attemptId;
    if (isForeign) {
      aCall.Abort(CallEnd::Foreign);
      co_return NoteBroken(aCall);
    }
    if (marks.m_load) {
      aCall.Target()->m_load->RecordReport(
        BootClock::now(), marks.m_load->m_waiting, marks.m_load->m_running);
    }
    if (marks.m_isNotRun) {
      co_return NoteRefused(aCall, marks);
    }
    if (status >= kFirstClientError || !marks.m_isSigned) {
      co_return co_await NoteFailure(aCall);
    }
    co_return co_await RelayEvents(aCall);
  }

  RunVerdict NoteRefused(ForwardCall& aCall, const AnswerMarks& aMarks)
  {
    --m_runs;
    const TimePoint now = BootClock::now();
    // Dead, leaving, giving up its layers or short of memory: only the first
    // concerns the streams that it has.
    RunnerPtr faulty = m_services.m_doctor.FindByAddress(aMarks.m_faultAddress);
    if (!faulty) {
      faulty = aCall.Target();
    }
    const bool isElsewhere = aMarks.m_isOtherEndpoint;
    faulty->m_load->Shun(now, isElsewhere ? kMovedShun : kFullShun);
    m_desk.m_paths.Invalidate();
    m_services.m_doctor.Doubt(now, faulty);
    m_job.m_excluded.push_back(faulty->m_id);
    LogRepeat(m_job,
              DecisionEvent::RequestSentAgain,
              isElsewhere ? "stage_moved" : "endpoint_refused");
    return RunVerdict::NotRun;
  }

  asio::awaitable<RunVerdict> NoteFailure(ForwardCall& aCall)
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
      LogRepeat(m_job, DecisionEvent::RequestSentAgain, "endpoint_failed");
      co_return RunVerdict::Broken;
    }
    const bool isPassedOn =
      status >= kFirstClientError && !m_services.m_dialect.IsPromise(status);
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

  asio::awaitable<RunVerdict> RelayEvents(ForwardCall& aCall)
  {
    m_job.m_status = aCall.Answer().result_int();
    std::string bytes;
    while (co_await aCall.ReadBody(bytes)) {
      NoteProgress(aCall);
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

  // False when the caller is gone.
  asio::awaitable<bool> PassOn(ForwardCall& aCall, std::string_view aBytes)
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
      m_services.m_metrics.RecordFirst(m_job.m_route->m_kind,
                                       m_job.m_firstAfter);
      out = MakeAnswerHeader(m_job, m_job.m_status, aCall.Answer(), -1);
    } else {
      m_job.m_longestGap = std::max(m_job.m_longestGap, now - m_lastEventAt);
      m_services.m_metrics.RecordGap(now - m_lastEventAt);
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

  // A token that came has passed every stage.
  static void NoteProgress(const ForwardCall& aCall)
  {
    for (const PathStage& stage : aCall.Path()->m_stages) {
      stage.m_runner->m_load->NoteAnswer(aCall.ProgressAt());
    }
  }

  RunVerdict NoteBroken(ForwardCall& aCall)
  {
    const CallEnd end = aCall.End();
    if (end == CallEnd::CallerGone) {
      m_job.m_end = RequestEnd::CallerGone;
      return RunVerdict::Ended;
    }
    m_lastEnd = end;
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
    if (m_hasBegun) {
      ++m_job.m_resumes;
      ++m_services.m_metrics.Resumes();
      LogRepeat(m_job, DecisionEvent::StreamResumed, NameOfEnd(end));
    } else {
      LogRepeat(m_job, DecisionEvent::RequestSentAgain, NameOfEnd(end));
    }
    return RunVerdict::Broken;
  }

  // No endpoint is left, or no time. The promise of a refusal is given only if
  // nothing can have run.
  asio::awaitable<void> GiveUp(RefusalCause aCause)
  {
    if (m_job.m_caller->IsGone()) {
      m_job.m_end = RequestEnd::CallerGone;
      co_return;
    }
    if (m_hasBegun) {
      // Without the last chunk the caller sees that the answer is not whole.
      m_job.m_end = RequestEnd::Cut;
      m_job.m_why = NameOfEnd(m_lastEnd);
      m_job.m_caller->CloseAfterAnswer();
      co_return;
    }
    if (m_runs == 0) {
      co_await Refuse(m_job, aCause);
      co_return;
    }
    const bool isLate = m_lastEnd == CallEnd::Overdue || m_job.IsOutOfTime();
    co_await Fail(m_job,
                  isLate ? kGatewayTimeout : kBadGateway,
                  "no event came: " + std::string(NameOfEnd(m_lastEnd)));
  }

  RequestJob& m_job;
  ForwardServices& m_services;
  ServiceDesk& m_desk;
  EventSplitter m_events;
  // Sendings that no endpoint has shown to be without effect.
  std::uint32_t m_runs = 0;
  std::size_t m_refusals = 0;
  // The header of the first run has gone out.
  bool m_hasBegun = false;
  // End of the wait for a path.
  TimePoint m_waitsUntil{};
  // A repeat has been paid for.
  bool m_hasClaimed = false;
  // First runners of the runs, but for those that have ended.
  std::vector<std::string> m_usedFirst;
  TimePoint m_lastEventAt{};
  CallEnd m_lastEnd = CallEnd::None;
};

} // namespace

asio::awaitable<void>
ForwardStream(RequestJob& aJob)
{
  StreamForwarder forwarder(aJob);
  co_await forwarder.Run();
}

} // namespace parsleycove
