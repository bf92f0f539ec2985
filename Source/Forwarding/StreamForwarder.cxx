// Decides where a stream's request goes, and goes next.
#include "Forwarding/StreamForwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace parsleycove {

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
// Sendings that reached nobody, or that were refused, before giving up.
constexpr std::size_t kMaxRefusals = 2;
// Runs of one request, whatever broke them off.
constexpr std::uint32_t kMaxRuns = 4;
constexpr Duration kPathWait = std::chrono::milliseconds(1600);
constexpr Duration kPathLook = std::chrono::milliseconds(10);
// Part of the target for the first event that a request may wait for room.
constexpr int kFullWaitPart = 2;
// How long a stream without a run is kept for another one.
constexpr Duration kResumeWait = std::chrono::milliseconds(1800);
constexpr Duration kResumeLook = std::chrono::milliseconds(60);

std::uint32_t
CountExpectedTokens(const CallerHeaders& aHeaders)
{
  const std::uint32_t answer = aHeaders.m_expectedAnswerTokens != 0
                                 ? aHeaders.m_expectedAnswerTokens
                                 : aHeaders.m_maxAnswerTokens / 2;
  return aHeaders.m_promptTokens + answer;
}

} // namespace

StreamForwarder::StreamForwarder(RequestJob& aJob)
  : m_job(aJob)
  , m_services(aJob.m_services)
  , m_desk(aJob.m_services.m_board.DeskOf(aJob.m_service))
  , m_events(aJob.m_headers.m_lastEventId)
{
  m_job.m_expectedTokens = CountExpectedTokens(m_job.m_headers);
}

asio::awaitable<void>
StreamForwarder::Run()
{
  m_desk.m_retries.RecordRequest(BootClock::now());
  for (;;) {
    if (m_job.m_caller->IsDisconnected()) {
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

PathChoice
StreamForwarder::ChoosePath()
{
  PathRequest request;
  request.m_tokens = m_job.m_expectedTokens;
  request.m_promptTokens = m_job.m_headers.m_promptTokens;
  request.m_gapTarget = m_job.m_route->m_gapTarget;
  request.m_restartSeed = m_hasBegun ? HashId(m_job.m_headers.m_attemptId) : 0;
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
  m_job.m_fill = choice.m_utilization;
  return choice;
}

asio::awaitable<bool>
StreamForwarder::WaitForPath(bool aIsFull)
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

asio::awaitable<bool>
StreamForwarder::WaitToResume()
{
  const TimePoint until = m_lastEventAt + kResumeWait;
  asio::steady_timer timer(m_services.m_context);
  while (m_hasBegun && m_job.m_route->m_isResumable && m_runs < kMaxRuns &&
         BootClock::now() < until && !m_job.IsOutOfTime()) {
    timer.expires_after(kResumeLook);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (m_job.m_caller->IsDisconnected()) {
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

bool
StreamForwarder::MayTryAgain(RunVerdict aVerdict)
{
  if (aVerdict == RunVerdict::NotRun && ++m_refusals > kMaxRefusals) {
    return false;
  }
  if (aVerdict == RunVerdict::Broken &&
      (!m_job.m_route->m_isResumable || m_runs >= kMaxRuns)) {
    return false;
  }
  if (m_job.m_caller->IsDisconnected()) {
    return true; // noticed at once by the loop
  }
  return m_job.m_attempts == 0 || std::exchange(m_hasClaimed, false) ||
         m_desk.m_retries.Spend(BootClock::now(),
                                m_services.m_board.Gateways());
}

bool
StreamForwarder::ClaimMove()
{
  const bool mayMove = m_job.m_route->m_isResumable && m_runs < kMaxRuns &&
                       !m_job.m_caller->IsDisconnected() &&
                       !m_job.IsOutOfTime() && ChoosePath().m_path;
  m_hasClaimed =
    mayMove &&
    (m_hasClaimed ||
     m_desk.m_retries.Spend(BootClock::now(), m_services.m_board.Gateways()));
  return m_hasClaimed;
}

bool
StreamForwarder::MayBeginAt(const StagePath& aPath) const
{
  const auto& used = m_usedFirst;
  return used.size() < m_job.m_route->m_maxAttempts ||
         std::find(used.begin(), used.end(), aPath.First().m_id) != used.end();
}

asio::awaitable<void>
StreamForwarder::GiveUp(RefusalCause aCause)
{
  if (m_job.m_caller->IsDisconnected()) {
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

asio::awaitable<void>
ForwardStream(RequestJob& aJob)
{
  StreamForwarder forwarder(aJob);
  co_await forwarder.Run();
}

} // namespace parsleycove
