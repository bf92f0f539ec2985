// Forwards requests that are answered with one complete body.
#include "Forwarding/PlainForwarder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Forwarding/EndpointChecker.h"
#include "Forwarding/NoticeRecorder.h"
#include "Forwarding/PromptPartReporter.h"
#include "Forwarding/ReachMonitor.h"
#include "Forwarding/SilentCalls.h"

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// A safe request is sent to another endpoint when its answer takes longer than
// this multiple of the service's average latency.
constexpr int kRetryTimeoutFactor = 5;
constexpr Duration kMinRetryTimeout = std::chrono::milliseconds(45);
// The same for a request that another VM took over, which retries it itself.
constexpr Duration kMinHelperTimeout = std::chrono::milliseconds(250);
constexpr std::size_t kMaxConnectFailures = 3;
// VMs that a request is passed on to, one after the other.
constexpr std::size_t kMaxHelpers = 8;
// A longer answer is broken, unless the limit of a caller's request is larger.
constexpr std::size_t kMaxAnswerBytes = 8UL * 1024 * 1024;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstServerError = 500;
// Divisor of a new sample's weight in the moving average of the latency.
constexpr int kLatencyAverageWeight = 8;

enum class ForwardOutcome
{
  // The caller has its answer or has disconnected.
  Finished,
  // Not executed: a request of any kind may be sent to another endpoint.
  NotExecuted,
  // The endpoint may have executed the request.
  Failed,
};

class PlainForwarder
{
public:
  explicit PlainForwarder(ForwardedRequest& aRequest)
    : m_request(aRequest)
    , m_services(aRequest.m_services)
    , m_serviceState(
        aRequest.m_services.m_routing.ServiceState(aRequest.m_service))
    , m_silentCalls(aRequest.m_services.m_context)
  {
  }

  asio::awaitable<void> Run()
  {
    if (!m_request.m_isCounted && !MustPassOn(m_request)) {
      m_request.m_isCounted = true;
      m_serviceState.m_retries.RecordRequest(BootClock::now());
    }
    m_serviceState.m_returns.RecordArrival(BootClock::now());
    for (;;) {
      if (m_request.m_caller->IsDisconnected()) {
        m_request.m_end = RequestEnd::CallerGone;
        co_return;
      }
      if (const auto cause =
            m_request.CauseNotToSend(m_possibleExecutions != 0)) {
        co_await End(*cause);
        co_return;
      }
      // GCC 12 destroys a conditional temporary of a co_await expression twice.
      if (!m_isTrial && !MustPassOn(m_request)) {
        const bool isAllowed = co_await MayTryParts(m_request, m_isTrial);
        if (!isAllowed) {
          co_await End(CauseOfParts(m_request));
          co_return;
        }
      }
      const RunnerPtr runner = PickEndpoint();
      if (!runner) {
        m_request.m_availableAt = m_services.m_routing.EndpointAvailableAt();
        co_await End(FindCauseWithoutEndpoint());
        co_return;
      }
      if (!ClaimRetry()) {
        co_await End(RefusalCause::EndpointsRefuse);
        co_return;
      }
      const ForwardOutcome outcome = co_await TryEndpoint(runner);
      if (outcome == ForwardOutcome::Finished) {
        co_return;
      }
      if (m_helperCause) {
        co_await End(*m_helperCause);
        co_return;
      }
      if (m_silentCalls.HasAnswered() || !MayRetry(outcome)) {
        co_await End(MustPassOn(m_request) ? RefusalCause::EndpointsUnreached
                                           : RefusalCause::EndpointsRefuse);
        co_return;
      }
    }
  }

private:
  // Returns another VM where this VM reaches no endpoint of the service.
  RunnerPtr PickEndpoint()
  {
    if (MustPassOn(m_request)) {
      return m_services.m_reach.PickHelper(
        BootClock::now(), m_request.m_service, m_request.m_excluded);
    }
    PickRequest request;
    request.m_service = m_request.m_service;
    request.m_excluded = m_request.m_excluded;
    request.m_ownZone = m_services.m_options.m_zone;
    return m_services.m_routing.PickEndpoint(BootClock::now(), request);
  }

  bool HasAlternative(const RunnerPtr& aRunner)
  {
    const TimePoint now = BootClock::now();
    const RunnerTable* table = m_services.m_routing.Runners();
    const auto* all = table ? table->FindService(m_request.m_service) : nullptr;
    return all != nullptr &&
           std::any_of(
             all->begin(), all->end(), [&](const RunnerPtr& aCandidate) {
               return aCandidate->m_id != aRunner->m_id &&
                      aCandidate->m_load->Notice().TakesNewWork(now) &&
                      aCandidate->m_load->Quota().MayTake(now) &&
                      std::find(m_request.m_excluded.begin(),
                                m_request.m_excluded.end(),
                                aCandidate->m_id) == m_request.m_excluded.end();
             });
  }

  bool MayRetry(ForwardOutcome aOutcome)
  {
    if (MustPassOn(m_request) && !std::exchange(m_isPassedOn, true)) {
      m_connectFailures = 0;
    }
    const bool kindAllows =
      aOutcome == ForwardOutcome::NotExecuted || m_request.m_route->CanRetry();
    const bool countAllows =
      m_connectFailures < (m_isPassedOn ? kMaxHelpers : kMaxConnectFailures) &&
      m_possibleExecutions < m_request.m_route->m_maxAttempts;
    const bool trialAllows =
      !m_isTrial || aOutcome == ForwardOutcome::NotExecuted;
    // Another answer of that size would only add to those that are held.
    const bool budgetAllows = m_lastEnd != CallEnd::OverBudget;
    return kindAllows && countAllows && trialAllows && budgetAllows &&
           !m_request.m_caller->IsDisconnected();
  }

  // Charges the retry budget once for each call that follows a sent one. As
  // long as no byte was sent, the next call is no retry.
  bool ClaimRetry()
  {
    m_hasRetryClaim = m_request.m_attempts == 0 || m_hasRetryClaim ||
                      m_serviceState.m_retries.Spend(
                        BootClock::now(), m_services.m_routing.GatewayCount());
    return m_hasRetryClaim;
  }

  RefusalCause FindCauseWithoutEndpoint() const
  {
    if (MustPassOn(m_request)) {
      return RefusalCause::EndpointsUnreached;
    }
    if (m_services.m_routing.EndpointPickReason().m_code ==
        PickError::AllLimited) {
      return RefusalCause::EndpointsLimited;
    }
    if (m_request.m_availableAt != TimePoint{}) {
      return RefusalCause::EndpointsPaused;
    }
    return m_request.m_attempts + m_connectFailures == 0
             ? RefusalCause::NoEndpoint
             : RefusalCause::EndpointsRefuse;
  }

  asio::awaitable<ForwardOutcome> TryEndpoint(RunnerPtr aRunner)
  {
    m_request.m_excluded.push_back(aRunner->m_id);
    const TimePoint startedAt = BootClock::now();
    const EndpointCallPtr call = co_await StartCall(
      m_request,
      aRunner,
      nullptr,
      {},
      std::min<Duration>(kConnectTimeout, m_request.TimeLeft() / 2));
    if (!call) {
      ++m_connectFailures;
      RecordCallFailure(*aRunner, "not_connected");
      co_return ForwardOutcome::NotExecuted;
    }
    ++m_request.m_attempts;
    ++m_possibleExecutions;
    m_hasRetryClaim = false;
    call->SetDeadlines(ChooseMoveTime(aRunner), m_request.Deadline());
    call->SetMoveClaim([this, aRunner] { return ClaimMove(aRunner); });
    m_body.clear();
    if (m_silentCalls.HasAnswered()) {
      call->Abort(CallEnd::Superseded);
    }
    co_return co_await FollowCall(call, startedAt);
  }

  // Receives the answer of a call until its end or until the call is suspended.
  asio::awaitable<ForwardOutcome> FollowCall(EndpointCallPtr aCall,
                                             TimePoint aStartedAt)
  {
    m_request.m_call = aCall;
    if (m_request.m_caller->IsDisconnected()) {
      aCall->Abort(CallEnd::CallerGone);
    }
    const ForwardOutcome outcome = co_await Receive(*aCall);
    m_request.m_call = nullptr;
    aCall->SetMoveClaim(nullptr);
    if (aCall->IsSuspended()) {
      m_silentCalls.Keep(
        aCall,
        std::move(m_body),
        [](const std::string&, bool aIsEnded) { return aIsEnded; },
        [this] { EndSuccessor(); });
      co_return outcome;
    }
    m_body.clear();
    m_body.shrink_to_fit();
    const TimePoint now = BootClock::now();
    aCall->Release(now);
    if (outcome != ForwardOutcome::NotExecuted) {
      m_serviceState.m_returns.RecordFreed(now);
    }
    if (outcome == ForwardOutcome::Finished &&
        m_request.m_end == RequestEnd::Answered) {
      const RunnerPtr& runner = aCall->Target();
      UpdateCircuit(*runner, "answered a request", [&](TimePoint aNow) {
        runner->m_load->CloseCircuit(aNow);
      });
      m_serviceState.m_averageLatency +=
        (now - aStartedAt - m_serviceState.m_averageLatency) /
        kLatencyAverageWeight;
    }
    co_return outcome;
  }

  bool MayMove(const RunnerPtr& aRunner)
  {
    return !m_isTrial && m_request.m_route->CanRetry() &&
           m_possibleExecutions < m_request.m_route->m_maxAttempts &&
           (aRunner->m_isGateway ? HasOtherHelper() : HasAlternative(aRunner));
  }

  bool HasOtherHelper()
  {
    return m_services.m_reach.PickHelper(BootClock::now(),
                                         m_request.m_service,
                                         m_request.m_excluded) != nullptr;
  }

  // Returns true if the request may be sent to another endpoint now, and
  // charges the retry budget for it.
  bool ClaimMove(const RunnerPtr& aRunner)
  {
    if (m_request.m_call) {
      m_services.m_reach.RecordWaiting(m_request.m_call->SentAt(), *aRunner);
    }
    return !m_request.m_caller->IsDisconnected() && MayMove(aRunner) &&
           ClaimRetry();
  }

  // Returns when the call counts as silent.
  TimePoint ChooseMoveTime(const RunnerPtr& aRunner)
  {
    const Duration least =
      aRunner->m_isGateway ? kMinHelperTimeout : kMinRetryTimeout;
    return BootClock::now() +
           std::max<Duration>(
             least, m_serviceState.m_averageLatency * kRetryTimeoutFactor);
  }

  // Ends the current call, since the silent endpoint goes on.
  void EndSuccessor()
  {
    if (const EndpointCallPtr& call = m_request.m_call;
        call && call->MayHaveArrived()) {
      call->Abort(CallEnd::Superseded);
    }
  }

  // Continues the call that was kept for its silence.
  asio::awaitable<ForwardOutcome> FollowSilentCall()
  {
    const EndpointCallPtr call = co_await m_silentCalls.Resume(m_body);
    if (!call) {
      co_return ForwardOutcome::Failed;
    }
    m_request.m_lastEndpoint = call->Target()->m_id;
    call->SetDeadline(m_request.Deadline());
    co_return co_await FollowCall(call, call->SentAt());
  }

  // Ends the request when no endpoint is left to send it to. An endpoint that
  // was only silent may still answer.
  asio::awaitable<void> End(RefusalCause aCause)
  {
    while (!m_silentCalls.IsEmpty() && !m_request.m_caller->IsDisconnected()) {
      const ForwardOutcome outcome = co_await FollowSilentCall();
      if (outcome == ForwardOutcome::Finished) {
        co_return;
      }
    }
    co_await EndWithoutAnswer(aCause);
  }

  asio::awaitable<ForwardOutcome> Receive(EndpointCall& aCall)
  {
    if (!co_await ReadMatchingAnswer(aCall, m_body)) {
      co_return co_await RecordBrokenCall(aCall);
    }
    // The answer is complete, so the request moves no more.
    aCall.SetMoveClaim(nullptr);
    aCall.SetDeadlines(m_request.Deadline(), m_request.Deadline());
    const EndpointCall::Header& answer = aCall.Answer();
    const unsigned status = answer.result_int();
    const AnswerHeaders headers =
      m_services.m_dialect.ParseAnswerHeaders(status, answer);
    if (aCall.Target()->m_isGateway) {
      co_return co_await HandleHelperAnswer(aCall, headers);
    }
    ReachMonitor::RecordReached(BootClock::now(), *aCall.Target());
    RecordLoad(*aCall.Target(), headers);
    m_services.m_notices.Record(
      BootClock::now(),
      AnswerOrigin{ AnswerKind::Request, aCall.SentAt() },
      aCall.Target(),
      nullptr,
      headers);
    if (headers.m_isNotExecuted) {
      --m_possibleExecutions;
      aCall.RecordRefusal();
      m_request.m_lastFault = "endpoint_refused";
      co_return ForwardOutcome::NotExecuted;
    }
    if (headers.m_isSigned &&
        !m_services.m_dialect.IsNotExecutedStatus(status)) {
      m_services.m_promptParts.RecordBegun(BootClock::now(), m_request.Parts());
    }
    const bool isFailure = status >= kFirstServerError;
    if (isFailure && m_request.m_route->m_kind == RequestKind::Safe &&
        m_possibleExecutions < m_request.m_route->m_maxAttempts &&
        HasAlternative(aCall.Target()) &&
        m_serviceState.m_retries.Remaining(
          BootClock::now(), m_services.m_routing.GatewayCount()) >= 1) {
      m_request.m_lastFault = "endpoint_failed";
      co_return ForwardOutcome::Failed;
    }
    co_await DeliverAnswer(aCall, headers, std::move(m_body));
    co_return ForwardOutcome::Finished;
  }

  // Delivers the answer of the VM that took the request over, unless that VM
  // refused it.
  asio::awaitable<ForwardOutcome> HandleHelperAnswer(
    EndpointCall& aCall,
    const AnswerHeaders& aHeaders)
  {
    const auto cause = ReadHelperRefusal(aCall.Answer());
    if (!cause) {
      m_services.m_metrics.RecordPassedOnAnswer(BootClock::now() -
                                                m_request.m_arrival);
      co_await DeliverAnswer(aCall, aHeaders, std::move(m_body));
      co_return ForwardOutcome::Finished;
    }
    --m_possibleExecutions;
    --m_request.m_attempts;
    aCall.RecordRefusal();
    m_hasRetryClaim = true;
    m_request.m_lastFault = NameOfCause(*cause);
    if (IsHelperFault(*cause)) {
      ++m_connectFailures;
      m_services.m_reach.RecordHelperRefusal(
        BootClock::now(), *aCall.Target(), m_request.m_service, *cause);
    } else {
      m_helperCause = cause;
      m_request.m_availableAt =
        BootClock::now() + aHeaders.m_pause.value_or(Duration::zero());
    }
    co_return ForwardOutcome::NotExecuted;
  }

  // Reads the complete answer to this request and skips answers to other
  // requests. Returns false if the call ended before the answer was complete.
  asio::awaitable<bool> ReadMatchingAnswer(EndpointCall& aCall,
                                           std::string& aBody)
  {
    constexpr int kMaxForeignAnswers = 2;
    const std::size_t maxBytes =
      std::max(kMaxAnswerBytes, m_request.m_config->Limits().m_maxBodyBytes);
    for (int i = 0; i <= kMaxForeignAnswers; ++i) {
      if (!co_await aCall.ReadHeader()) {
        co_return false;
      }
      while (co_await aCall.ReadBody(aBody)) {
        // The whole body is buffered, since the answer must be complete before
        // its length is sent to the caller.
        if (aBody.size() > maxBytes) {
          aCall.Abort(CallEnd::Broken);
        }
      }
      if (aCall.End() != CallEnd::None) {
        co_return false;
      }
      const EndpointCall::Header& answer = aCall.Answer();
      const AnswerHeaders headers =
        m_services.m_dialect.ParseAnswerHeaders(answer.result_int(), answer);
      if (!IsForeignAnswer(m_request, aCall, headers)) {
        co_return true;
      }
      aCall.SkipAnswer();
      aBody.clear();
    }
    aCall.Abort(CallEnd::Foreign);
    co_return false;
  }

  asio::awaitable<void> DeliverAnswer(EndpointCall& aCall,
                                      const AnswerHeaders& aHeaders,
                                      std::string aBody)
  {
    const EndpointCall::Header& answer = aCall.Answer();
    unsigned status = answer.result_int();
    const bool isSuccess = status < kFirstClientError;
    // The endpoint may have executed the request, so a status that guarantees
    // the opposite must not reach the caller.
    if (m_services.m_dialect.IsNotExecutedStatus(status) ||
        (isSuccess && !aHeaders.m_isSigned)) {
      status = kBadGateway;
    }
    m_request.m_status = status;
    m_request.m_end =
      status < kFirstClientError ? RequestEnd::Answered : RequestEnd::Failed;
    m_request.m_firstAnswerDelay = BootClock::now() - m_request.m_arrival;
    if (status == kBadGateway && status != answer.result_int()) {
      m_request.m_why = "the endpoint's status " +
                        std::to_string(answer.result_int()) +
                        " cannot be passed on to the caller";
    } else if (m_request.m_end == RequestEnd::Failed) {
      m_request.m_why = "the endpoint answered with this status";
    }
    const auto length = static_cast<std::int64_t>(aBody.size());
    if (m_request.Http().method() == http::verb::head) {
      aBody.clear();
    }
    // In place, so that a large body is held once.
    aBody.insert(0, MakeAnswerHeader(m_request, status, answer, length));
    const bool written =
      co_await WriteAnswer(m_request, aCall, std::move(aBody), kWriteTimeout);
    if (!written) {
      m_request.m_end = EndOfUnwritten(m_request, aCall);
    }
  }

  // An answer that exceeds the budget and whose header names no length may be
  // one without end, which is its endpoint's fault.
  static CallEnd JudgeEnd(const EndpointCall& aCall)
  {
    const bool isSound = !aCall.HasAnswerHeader() ||
                         aCall.Answer().count(http::field::content_length) != 0;
    return aCall.End() == CallEnd::OverBudget && !isSound ? CallEnd::Broken
                                                          : aCall.End();
  }

  asio::awaitable<ForwardOutcome> RecordBrokenCall(EndpointCall& aCall)
  {
    const CallEnd end = JudgeEnd(aCall);
    if (end == CallEnd::CallerGone) {
      m_request.m_end = RequestEnd::CallerGone;
      co_return ForwardOutcome::Finished;
    }
    if (end == CallEnd::Superseded) {
      co_return ForwardOutcome::Failed;
    }
    m_lastEnd = end;
    m_request.m_lastFault = NameOfEnd(end);
    if (end == CallEnd::OverBudget) {
      co_return ForwardOutcome::Failed;
    }
    if (end == CallEnd::Broken && !aCall.HasAnswerHeader() &&
        !aCall.Target()->m_isGateway) {
      const TimePoint now = BootClock::now();
      m_services.m_reach.RecordUnreached(now, *aCall.Target());
      m_services.m_promptParts.RecordUnanswered(now,
                                                m_request.m_headers.m_attemptId,
                                                m_request.Parts(),
                                                *aCall.Target());
      m_services.m_endpointChecker.Check(now, aCall.Target());
    }
    if (end == CallEnd::Overdue) {
      UpdateCircuit(*aCall.Target(), NameOfEnd(end), [&](TimePoint aNow) {
        aCall.Target()->m_load->RecordTimeout(aNow, aCall.SentAt());
      });
      m_services.m_pool.CloseIdle(*aCall.Target());
    } else {
      RecordCallFailure(*aCall.Target(), NameOfEnd(end));
    }
    co_return ForwardOutcome::Failed;
  }

  void RecordLoad(const Runner& aRunner, const AnswerHeaders& aHeaders)
  {
    if (aHeaders.m_load) {
      aRunner.m_load->RecordReport(BootClock::now(),
                                   aHeaders.m_load->m_waiting,
                                   aHeaders.m_load->m_running);
    }
  }

  void RecordCallFailure(const Runner& aRunner, std::string_view aWhy)
  {
    UpdateCircuit(aRunner, aWhy, [&](TimePoint aNow) {
      aRunner.m_load->RecordFailure(aNow);
    });
  }

  // Applies aChange to the endpoint's load record. Writes a log line if the
  // change opens or closes the endpoint's circuit breaker.
  template<typename Change>
  void UpdateCircuit(const Runner& aRunner,
                     std::string_view aWhy,
                     Change aChange)
  {
    const TimePoint now = BootClock::now();
    const bool wasOk = aRunner.m_load->Circuit(now) == CircuitState::Closed;
    aChange(now);
    const bool isOk = aRunner.m_load->Circuit(now) == CircuitState::Closed;
    if (isOk == wasOk) {
      return;
    }
    m_services.m_log.Write(isOk ? DecisionEvent::EndpointCleared
                                : DecisionEvent::EndpointSuspected,
                           [&](DecisionLine& aLine) {
                             aLine.Add("endpoint", aRunner.m_id)
                               .Add("why", aWhy)
                               .Add("id", m_request.m_headers.m_attemptId);
                           });
  }

  // A refusal guarantees that the request was not executed, so it is sent only
  // if no endpoint can have executed the request.
  asio::awaitable<void> EndWithoutAnswer(RefusalCause aCause)
  {
    if (m_request.m_caller->IsDisconnected()) {
      m_request.m_end = RequestEnd::CallerGone;
      co_return;
    }
    if (m_possibleExecutions == 0) {
      co_await Refuse(m_request, aCause);
      co_return;
    }
    const bool isLate =
      m_lastEnd == CallEnd::Overdue || m_request.IsOutOfTime();
    co_await Fail(m_request,
                  isLate ? kGatewayTimeout : kBadGateway,
                  (m_lastEnd == CallEnd::OverBudget
                     ? "this VM holds too many answers: "
                     : "the endpoint did not answer: ") +
                    std::string(NameOfEnd(m_lastEnd)));
  }

  static constexpr unsigned kFirstClientError = 400;

  ForwardedRequest& m_request;
  ForwardServices& m_services;
  ServiceRoutingState& m_serviceState;
  // Calls sent to endpoints, without those that an endpoint reported as not
  // executed.
  std::uint32_t m_possibleExecutions = 0;
  std::size_t m_connectFailures = 0;
  // The request is a trial of a quarantined part, see MayTryParts().
  bool m_isTrial = false;
  // The request is passed on from now on.
  bool m_isPassedOn = false;
  // Why the VM that reaches the service refused the request.
  std::optional<RefusalCause> m_helperCause;
  // The next call was charged to the retry budget and has not been sent.
  bool m_hasRetryClaim = false;
  CallEnd m_lastEnd = CallEnd::None;
  // Body of the answer of the current call.
  std::string m_body;
  // Calls that were suspended for their silence, with their bodies so far.
  SilentCalls m_silentCalls;
};

} // namespace

asio::awaitable<void>
ForwardPlain(ForwardedRequest& aRequest)
{
  PlainForwarder forwarder(aRequest);
  co_await forwarder.Run();
}

} // namespace parsleycove
