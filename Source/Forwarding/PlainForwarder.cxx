// Forwards a request whose answer is one whole body.
#include "Forwarding/PlainForwarder.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// A safe call that takes this many times the usual is given to another one.
constexpr int kRetryTimeoutFactor = 5;
constexpr Duration kMinRetryTimeout = std::chrono::milliseconds(45);
constexpr std::size_t kMaxConnectFailures = 3;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstServerError = 500;
// A new sample weighs this part in the usual time.
constexpr int kLatencyAverageWeight = 8;

enum class ForwardOutcome
{
  // The caller has its answer, or is gone.
  Finished,
  // Never ran: any request may go elsewhere.
  NotExecuted,
  // May have run.
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
  {
  }

  asio::awaitable<void> Run()
  {
    m_serviceState.m_retries.RecordRequest(BootClock::now());
    for (;;) {
      if (m_request.m_caller->IsDisconnected()) {
        m_request.m_end = RequestEnd::CallerGone;
        co_return;
      }
      if (m_request.IsOutOfTime()) {
        co_await EndWithoutAnswer(RefusalCause::OutOfTime);
        co_return;
      }
      const RunnerPtr runner = PickEndpoint();
      if (!runner) {
        co_await EndWithoutAnswer(m_request.m_attempts + m_connectFailures == 0
                                    ? RefusalCause::NoEndpoint
                                    : RefusalCause::EndpointsRefuse);
        co_return;
      }
      const ForwardOutcome outcome = co_await TryEndpoint(runner);
      if (outcome == ForwardOutcome::Finished) {
        co_return;
      }
      if (!MayRetry(outcome)) {
        co_await EndWithoutAnswer(RefusalCause::EndpointsRefuse);
        co_return;
      }
    }
  }

private:
  RunnerPtr PickEndpoint()
  {
    PickRequest request;
    request.m_service = m_request.m_service;
    request.m_excluded = m_request.m_excluded;
    request.m_ownZone = m_services.m_options.m_zone;
    return m_services.m_routing.PickEndpoint(BootClock::now(), request);
  }

  bool HasAlternative(const RunnerPtr& aRunner)
  {
    const RunnerTable* table = m_services.m_routing.Runners();
    const auto* all = table ? table->FindService(m_request.m_service) : nullptr;
    return all != nullptr &&
           std::any_of(
             all->begin(), all->end(), [&](const RunnerPtr& aCandidate) {
               return aCandidate->m_id != aRunner->m_id &&
                      std::find(m_request.m_excluded.begin(),
                                m_request.m_excluded.end(),
                                aCandidate->m_id) == m_request.m_excluded.end();
             });
  }

  bool MayRetry(ForwardOutcome aOutcome)
  {
    const bool kindAllows =
      aOutcome == ForwardOutcome::NotExecuted || m_request.m_route->CanRetry();
    const bool countAllows =
      m_connectFailures < kMaxConnectFailures &&
      m_possibleExecutions < m_request.m_route->m_maxAttempts;
    // Where no byte has left, the first sending is still to come.
    const bool isRetry = m_request.m_attempts > 0;
    return kindAllows && countAllows && !m_request.m_caller->IsDisconnected() &&
           (!isRetry ||
            m_serviceState.m_retries.Spend(
              BootClock::now(), m_services.m_routing.GatewayCount()));
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
    call->SetDeadline(ChooseDeadline(aRunner));
    const ForwardOutcome outcome = co_await Receive(*call);
    m_request.m_call = nullptr;
    const TimePoint now = BootClock::now();
    call->Release(now);
    if (outcome == ForwardOutcome::Finished &&
        m_request.m_end == RequestEnd::Answered) {
      UpdateCircuit(*aRunner, "it answered a request", [&](TimePoint aNow) {
        aRunner->m_load->CloseCircuit(aNow);
      });
      m_serviceState.m_averageLatency +=
        (now - startedAt - m_serviceState.m_averageLatency) /
        kLatencyAverageWeight;
    }
    co_return outcome;
  }

  TimePoint ChooseDeadline(const RunnerPtr& aRunner)
  {
    const bool mayRetry =
      m_request.m_route->CanRetry() &&
      m_possibleExecutions < m_request.m_route->m_maxAttempts &&
      HasAlternative(aRunner);
    if (!mayRetry) {
      return m_request.m_deadline;
    }
    const Duration retryTimeout = std::max<Duration>(
      kMinRetryTimeout, m_serviceState.m_averageLatency * kRetryTimeoutFactor);
    return std::min(m_request.m_deadline, BootClock::now() + retryTimeout);
  }

  asio::awaitable<ForwardOutcome> Receive(EndpointCall& aCall)
  {
    std::string body;
    if (!co_await ReadMatchingAnswer(aCall, body)) {
      co_return co_await RecordBrokenCall(aCall);
    }
    const EndpointCall::Header& answer = aCall.Answer();
    const unsigned status = answer.result_int();
    const AnswerHeaders headers =
      m_services.m_dialect.ParseAnswerHeaders(status, answer);
    RecordLoad(*aCall.Target(), headers);
    if (headers.m_isNotExecuted) {
      --m_possibleExecutions;
      m_request.m_lastFault = "endpoint_refused";
      co_return ForwardOutcome::NotExecuted;
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
    co_await DeliverAnswer(aCall, headers, std::move(body));
    co_return ForwardOutcome::Finished;
  }

  // Reads a whole answer, passing over answers to other requests.
  asio::awaitable<bool> ReadMatchingAnswer(EndpointCall& aCall,
                                           std::string& aBody)
  {
    constexpr int kMaxForeignAnswers = 2;
    for (int i = 0; i <= kMaxForeignAnswers; ++i) {
      aBody.clear();
      if (!co_await aCall.ReadHeader()) {
        co_return false;
      }
      while (co_await aCall.ReadBody(aBody)) {
        // Whether the answer is whole must be known before its length is told.
        if (aBody.size() > m_request.m_config->Limits().m_maxBodyBytes) {
          aCall.Abort(CallEnd::Broken);
        }
      }
      if (aCall.End() != CallEnd::None) {
        co_return false;
      }
      if (!IsForeignAnswer(aCall)) {
        co_return true;
      }
      aCall.SkipAnswer();
    }
    aCall.Abort(CallEnd::Foreign);
    co_return false;
  }

  bool IsForeignAnswer(const EndpointCall& aCall) const
  {
    const EndpointCall::Header& answer = aCall.Answer();
    const AnswerHeaders headers =
      m_services.m_dialect.ParseAnswerHeaders(answer.result_int(), answer);
    if (headers.m_attemptId.empty()) {
      return answer.result_int() < kFirstClientError;
    }
    return headers.m_attemptId != m_request.m_headers.m_attemptId;
  }

  asio::awaitable<void> DeliverAnswer(EndpointCall& aCall,
                                      const AnswerHeaders& aHeaders,
                                      std::string aBody)
  {
    const EndpointCall::Header& answer = aCall.Answer();
    unsigned status = answer.result_int();
    const bool isSuccess = status < kFirstClientError;
    // The endpoint may have run it: no promise may be passed on.
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
                        " cannot be passed on";
    } else if (m_request.m_end == RequestEnd::Failed) {
      m_request.m_why = "the endpoint answered so";
    }
    std::string out = MakeAnswerHeader(
      m_request, status, answer, static_cast<std::int64_t>(aBody.size()));
    if (m_request.Request().method() != http::verb::head) {
      out.append(aBody);
    }
    if (!co_await m_request.m_caller->Write(std::move(out), kWriteTimeout)) {
      m_request.m_end = RequestEnd::CallerGone;
    }
  }

  asio::awaitable<ForwardOutcome> RecordBrokenCall(EndpointCall& aCall)
  {
    const CallEnd end = aCall.End();
    if (end == CallEnd::CallerGone) {
      m_request.m_end = RequestEnd::CallerGone;
      co_return ForwardOutcome::Finished;
    }
    m_lastEnd = end;
    m_request.m_lastFault = NameOfEnd(end);
    if (end == CallEnd::Overdue) {
      UpdateCircuit(*aCall.Target(), NameOfEnd(end), [&](TimePoint aNow) {
        aCall.Target()->m_load->RecordTimeout(aNow, aCall.SentAt());
      });
      m_services.m_pool.Drop(*aCall.Target());
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

  // Tells the log when aChange opens or closes the endpoint's circuit.
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

  // The promise of a refusal is given only if nothing can have run.
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
                  "the endpoint did not answer: " +
                    std::string(NameOfEnd(m_lastEnd)));
  }

  static constexpr unsigned kFirstClientError = 400;

  ForwardedRequest& m_request;
  ForwardServices& m_services;
  ServiceRoutingState& m_serviceState;
  // Sendings that no endpoint has shown to be without effect.
  std::uint32_t m_possibleExecutions = 0;
  std::size_t m_connectFailures = 0;
  CallEnd m_lastEnd = CallEnd::None;
};

} // namespace

asio::awaitable<void>
ForwardPlain(ForwardedRequest& aRequest)
{
  PlainForwarder forwarder(aRequest);
  co_await forwarder.Run();
}

} // namespace parsleycove
