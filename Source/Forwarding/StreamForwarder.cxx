// Selects the path of each attempt of a stream and decides on retries.
#include "Forwarding/StreamForwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Forwarding/EngineFailureDetector.h"
#include "Forwarding/PromptPartReporter.h"
#include "Forwarding/ReachMonitor.h"

namespace parsleycove {

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
// Retries after attempts that reached no endpoint or were refused.
constexpr std::size_t kMaxRefusals = 2;
// VMs that a request is passed on to, one after the other.
constexpr std::size_t kMaxHelpers = 8;
// Attempts of one request that may have run, whatever ended them.
constexpr std::uint32_t kMaxExecutions = 4;
// Engines that a request may lose before its first event, if a part of its
// prompt is not known to be sound.
constexpr std::size_t kMaxUnanswered = 1;
constexpr Duration kMaxPathWait = std::chrono::milliseconds(1600);
constexpr Duration kPathPollInterval = std::chrono::milliseconds(10);
// A request waits for capacity at most for the first event target divided by
// this.
constexpr int kFullWaitDivisor = 2;
// How long a stream without a running attempt is kept open for the next one.
constexpr Duration kMaxResumeWait = std::chrono::milliseconds(1800);
// Time for which a stream that came back to its silent engine stays there at
// first; doubles each time, so that engines that refuse are not asked for ever.
constexpr Duration kMinStay = std::chrono::milliseconds(150);
constexpr Duration kResumePollInterval = std::chrono::milliseconds(60);

RefusalCause
CauseWithoutPath(const PathChoice& aChoice)
{
  if (aChoice.m_isLimited) {
    return RefusalCause::EndpointsLimited;
  }
  if (aChoice.m_availableAt != TimePoint{}) {
    return RefusalCause::EndpointsPaused;
  }
  return aChoice.m_isFull ? RefusalCause::PathsFull : RefusalCause::NoPath;
}

std::uint32_t
CountExpectedTokens(const CallerHeaders& aHeaders)
{
  const std::uint32_t answer = aHeaders.m_expectedAnswerTokens != 0
                                 ? aHeaders.m_expectedAnswerTokens
                                 : aHeaders.m_maxAnswerTokens / 2;
  return aHeaders.m_promptTokens + answer;
}

} // namespace

StreamForwarder::StreamForwarder(ForwardedRequest& aRequest)
  : m_request(aRequest)
  , m_services(aRequest.m_services)
  , m_serviceState(
      aRequest.m_services.m_routing.ServiceState(aRequest.m_service))
  , m_events(aRequest.m_headers.m_lastEventId)
  , m_pathTimer(aRequest.m_services.m_context)
  , m_silentCalls(aRequest.m_services.m_context)
  , m_stay(kMinStay)
{
  m_request.m_expectedTokens = CountExpectedTokens(m_request.m_headers);
  m_ticket.SetWake([this] { m_pathTimer.cancel(); });
}

asio::awaitable<void>
StreamForwarder::Run()
{
  if (!m_request.m_isCounted && !MustPassOn(m_request)) {
    m_request.m_isCounted = true;
    m_serviceState.m_retries.RecordRequest(BootClock::now());
  }
  m_serviceState.m_returns.RecordArrival(BootClock::now());
  if (TakesTurns()) {
    m_serviceState.m_queue.RecordArrival(
      BootClock::now(), *m_request.m_level, m_request.m_expectedTokens);
  }
  for (;;) {
    if (m_request.m_caller->IsDisconnected()) {
      m_request.m_end = RequestEnd::CallerGone;
      co_return;
    }
    if (const auto cause =
          m_request.CauseNotToSend(m_possibleExecutions != 0)) {
      co_await GiveUp(*cause);
      co_return;
    }
    if (!m_hasSentHeader && !m_isTrial && !MustPassOn(m_request)) {
      const bool isAllowed = co_await MayTryParts(m_request, m_isTrial);
      if (!isAllowed) {
        co_await GiveUp(CauseOfParts(m_request));
        co_return;
      }
    }
    PathChoice choice;
    if (IsItsTurn()) {
      choice = ChoosePath();
    } else {
      choice.m_isFull = true;
    }
    const bool mayStart = choice.m_path && !m_silentCalls.HasAnswered() &&
                          m_possibleExecutions < kMaxExecutions && ClaimRetry();
    if (!mayStart && m_silentCalls.IsEmpty()) {
      const bool goesOn = co_await WaitToStart(choice);
      if (!goesOn) {
        co_return;
      }
      continue;
    }
    if (mayStart) {
      RecordStart();
    }
    // GCC 12 destroys a conditional temporary of a co_await expression twice.
    const StagePathPtr path = mayStart ? choice.m_path : nullptr;
    const AttemptOutcome outcome = co_await StartOrFollow(path);
    if (outcome == AttemptOutcome::Finished) {
      co_return;
    }
    if (m_helperCause) {
      co_await GiveUp(*std::exchange(m_helperCause, std::nullopt));
      co_return;
    }
    if (m_silentCalls.IsEmpty() && !MayRetry(outcome)) {
      const bool goesOn = co_await WaitToResume();
      if (!goesOn) {
        co_await GiveUp(CauseAfterRefusals());
        co_return;
      }
    }
  }
}

asio::awaitable<bool>
StreamForwarder::WaitToStart(PathChoice aChoice)
{
  if (aChoice.m_path) {
    const bool mayResume = co_await WaitToResume();
    if (!mayResume) {
      co_await GiveUp(CauseAfterRefusals());
    }
    co_return mayResume;
  }
  const bool mayHavePath = co_await WaitForPath(aChoice);
  if (!mayHavePath) {
    m_request.m_availableAt = aChoice.m_availableAt;
    co_await GiveUp(MustPassOn(m_request)
                      ? RefusalCause::EndpointsUnreached
                      : NameGaveWay(CauseWithoutPath(aChoice)));
  }
  co_return mayHavePath;
}

asio::awaitable<AttemptOutcome>
StreamForwarder::StartOrFollow(StagePathPtr aPath)
{
  AttemptOutcome outcome = AttemptOutcome::Silent;
  if (aPath) {
    outcome = co_await RunAttempt(aPath);
  }
  const bool isOver =
    outcome == AttemptOutcome::Finished || m_silentCalls.IsEmpty();
  // A helper's refusal is final, but the silent engine may still go on.
  const bool isRefused = m_helperCause.has_value();
  if (!isOver && (!aPath || isRefused || m_silentCalls.HasAnswered() ||
                  !MayRetry(outcome))) {
    m_helperCause.reset();
    outcome = co_await FollowSilentCall();
  }
  co_return outcome;
}

void
StreamForwarder::RecordUnanswered(const EndpointCall& aCall)
{
  const TimePoint now = BootClock::now();
  m_services.m_promptParts.RecordUnanswered(
    now, m_request.m_headers.m_attemptId, m_request.Parts(), *aCall.Path());
  if (aCall.End() == CallEnd::Broken) {
    ++m_unanswered;
    m_services.m_failureDetector.ReportUnresponsive(now, aCall.Target());
  }
}

RefusalCause
StreamForwarder::CauseAfterRefusals()
{
  if (MustPassOn(m_request)) {
    return RefusalCause::EndpointsUnreached;
  }
  const PathChoice next = ChoosePath();
  if (next.m_path || next.m_availableAt == TimePoint{}) {
    return RefusalCause::EndpointsRefuse;
  }
  m_request.m_availableAt = next.m_availableAt;
  return CauseWithoutPath(next);
}

PathChoice
StreamForwarder::ChoosePath()
{
  PathChoice choice;
  if (!MustPassOn(m_request)) {
    choice = ChooseOwnPath();
    const bool mayHelp =
      !choice.m_path && !choice.m_isFull && !choice.m_isLimited &&
      choice.m_availableAt == TimePoint{} && !m_request.m_passedOn &&
      m_services.m_reach.HasLostLinks(m_request.m_service);
    if (!mayHelp) {
      return choice;
    }
  }
  if (RunnerPtr helper = m_services.m_reach.PickHelper(
        BootClock::now(), m_request.m_service, m_request.m_excluded)) {
    choice.m_path = MakePassedOnPath(std::move(helper));
  }
  return choice;
}

PathChoice
StreamForwarder::ChooseOwnPath()
{
  PathRequest request;
  request.m_tokens = m_request.m_expectedTokens;
  request.m_promptTokens = m_request.m_headers.m_promptTokens;
  request.m_draw = m_services.m_routing.DrawFraction();
  request.m_gapTarget = m_request.m_route->m_gapTarget;
  request.m_restartSeed =
    m_hasSentHeader ? HashId(m_request.m_headers.m_attemptId) : 0;
  request.m_gateways = m_services.m_routing.GatewayCount();
  request.m_excluded = m_request.m_excluded;
  request.m_countsDemand = !std::exchange(m_isDemandCounted, true);
  const TimePoint now = BootClock::now();
  PathQueue& queue = m_serviceState.m_queue;
  if (TakesTurns() && !queue.IsFloorTurn(now, m_ticket)) {
    request.m_reservedShare = queue.ReservedAgainst(now, *m_request.m_level);
  }
  request.m_isAllowed = [this](const StagePath& aPath) {
    return MayStartAt(aPath);
  };
  PathChoice choice = m_serviceState.m_paths.Choose(now, request);
  if (!choice.m_path && !choice.m_isFull && !m_request.m_excluded.empty()) {
    // Without alternatives, endpoints that refused before are tried again.
    m_request.m_excluded.clear();
    request.m_excluded.clear();
    request.m_countsDemand = false;
    choice = m_serviceState.m_paths.Choose(now, request);
  }
  m_request.m_utilization = choice.m_utilization;
  return choice;
}

asio::awaitable<bool>
StreamForwarder::WaitForPath(const PathChoice& aChoice)
{
  const TimePoint now = BootClock::now();
  if (m_pathWaitUntil == TimePoint{}) {
    const Duration most =
      aChoice.m_isFull
        ? std::max(m_request.m_route->m_target / kFullWaitDivisor,
                   kPathPollInterval)
        : kMaxPathWait;
    m_pathWaitUntil = now + std::min<Duration>(most, m_request.TimeLeft() / 3);
  }
  // A request that may have run cannot be refused, so it waits for the links.
  const bool isHopeless =
    MustPassOn(m_request) && !m_hasSentHeader && m_possibleExecutions == 0;
  if (isHopeless || aChoice.m_isLimited || now >= m_pathWaitUntil ||
      aChoice.m_availableAt > m_pathWaitUntil || !JoinQueue(aChoice)) {
    co_return false;
  }
  ProbeBroken();
  m_pathTimer.expires_after(kPathPollInterval);
  co_await m_pathTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  m_services.m_routing.Refresh(BootClock::now());
  co_return true;
}

asio::awaitable<bool>
StreamForwarder::WaitToResume()
{
  const TimePoint until = m_lastEventAt + kMaxResumeWait;
  asio::steady_timer timer(m_services.m_context);
  while (m_hasSentHeader && m_request.m_route->m_isResumable &&
         m_possibleExecutions < kMaxExecutions && BootClock::now() < until &&
         !m_request.IsOutOfTime()) {
    ProbeBroken();
    timer.expires_after(kResumePollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (m_request.m_caller->IsDisconnected()) {
      co_return true; // Run() handles the disconnect
    }
    m_request.m_excluded.clear();
    if (ClaimMove()) {
      co_return true;
    }
  }
  co_return false;
}

bool
StreamForwarder::MayRetry(AttemptOutcome aOutcome)
{
  if (MustPassOn(m_request) && !std::exchange(m_isPassedOn, true)) {
    m_refusals = 0;
  }
  if (aOutcome == AttemptOutcome::NotExecuted &&
      ++m_refusals > (m_isPassedOn ? kMaxHelpers : kMaxRefusals)) {
    return false;
  }
  if (aOutcome != AttemptOutcome::NotExecuted &&
      (!m_request.m_route->m_isResumable ||
       m_possibleExecutions >= kMaxExecutions)) {
    return false;
  }
  if (m_request.m_caller->IsDisconnected()) {
    return true; // Run() handles the disconnect
  }
  // Another answer of that size would only add to those that are held.
  if (m_lastEnd == CallEnd::OverBudget) {
    return false;
  }
  // A prompt that nobody has begun to answer may crash the next engine, too.
  const std::size_t most = m_isTrial ? 0 : kMaxUnanswered;
  return m_hasSentHeader || m_unanswered <= most ||
         m_services.m_promptParts.AreProved(BootClock::now(),
                                            m_request.m_headers.m_sharedParts);
}

bool
StreamForwarder::ClaimRetry()
{
  m_hasRetryClaim = m_request.m_attempts == 0 || m_hasRetryClaim ||
                    m_serviceState.m_retries.Spend(
                      BootClock::now(), m_services.m_routing.GatewayCount());
  return m_hasRetryClaim;
}

bool
StreamForwarder::ClaimMove()
{
  const bool mayMove =
    !m_isTrial && BootClock::now() >= m_moveNotBefore &&
    m_request.m_route->m_isResumable && m_possibleExecutions < kMaxExecutions &&
    !m_request.m_caller->IsDisconnected() && !m_request.IsOutOfTime();
  if (!mayMove || !ChoosePath().m_path) {
    return false;
  }
  m_hasRetryClaim =
    m_hasRetryClaim || m_serviceState.m_retries.Spend(
                         BootClock::now(), m_services.m_routing.GatewayCount());
  return m_hasRetryClaim;
}

bool
StreamForwarder::MayStartAt(const StagePath& aPath) const
{
  return m_firstRunners.Contains(aPath.First()) ||
         m_firstRunners.CountLive(m_services.m_routing.Runners()) <
           m_request.m_route->m_maxAttempts;
}

void
StreamForwarder::ProbeBroken()
{
  const TimePoint now = BootClock::now();
  for (const RunnerPtr& runner :
       m_firstRunners.FindBroken(m_services.m_routing.Runners())) {
    m_services.m_failureDetector.ReportUnresponsive(now, runner);
  }
}

asio::awaitable<void>
StreamForwarder::GiveUp(RefusalCause aCause)
{
  if (m_request.m_caller->IsDisconnected()) {
    m_request.m_end = RequestEnd::CallerGone;
    co_return;
  }
  if (m_hasSentHeader) {
    // The missing last chunk shows the caller that the answer is incomplete.
    m_request.m_end = RequestEnd::Cut;
    m_request.m_why = NameOfEnd(m_lastEnd);
    m_request.m_cutCause = NameOfCause(aCause);
    m_request.m_silentFor = BootClock::now() - m_lastEventAt;
    if (m_lastEnd == CallEnd::Stalled || m_lastEnd == CallEnd::StageLost) {
      ++m_services.m_metrics.CutsAfterSilence();
    }
    m_request.m_caller->CloseAfterAnswer();
    co_return;
  }
  if (m_possibleExecutions == 0) {
    if (m_request.m_level) {
      ++m_services.m_metrics.RefusedAt(*m_request.m_level);
    }
    co_await Refuse(m_request, aCause);
    co_return;
  }
  const bool isLate = m_lastEnd == CallEnd::Overdue || m_request.IsOutOfTime();
  co_await Fail(m_request,
                isLate ? kGatewayTimeout : kBadGateway,
                "no event came: " + std::string(NameOfEnd(m_lastEnd)));
}

asio::awaitable<void>
ForwardStream(ForwardedRequest& aRequest)
{
  StreamForwarder forwarder(aRequest);
  co_await forwarder.Run();
}

} // namespace parsleycove
