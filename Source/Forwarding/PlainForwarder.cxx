// Forwards a request whose answer is one whole body.
#include "Forwarding/PlainForwarder.h"

#include <algorithm>
#include <utility>

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// A safe call that takes this many times the usual is given to another one.
constexpr int kSilenceFactor = 5;
constexpr Duration kMinSilence = std::chrono::milliseconds(45);
constexpr std::size_t kMaxConnectFailures = 3;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kFirstServerError = 500;
// A new sample weighs this part in the usual time.
constexpr int kUsualWeight = 8;

enum class CallVerdict
{
  // The caller has its answer, or is gone.
  Ended,
  // Never ran: any request may go elsewhere.
  NotRun,
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
      if (m_request.m_caller->IsGone()) {
        m_request.m_end = RequestEnd::CallerGone;
        co_return;
      }
      if (m_request.IsOutOfTime()) {
        co_await EndWithoutAnswer(RefusalCause::OutOfTime);
        co_return;
      }
      const RunnerPtr runner = Pick();
      if (!runner) {
        co_await EndWithoutAnswer(m_request.m_attempts + m_connectFailures == 0
                                    ? RefusalCause::NoEndpoint
                                    : RefusalCause::EndpointsRefuse);
        co_return;
      }
      const CallVerdict verdict = co_await Try(runner);
      if (verdict == CallVerdict::Ended) {
        co_return;
      }
      if (!MayTryAgain(verdict)) {
        co_await EndWithoutAnswer(RefusalCause::EndpointsRefuse);
        co_return;
      }
    }
  }

private:
  RunnerPtr Pick()
  {
    PickRequest request;
    request.m_service = m_request.m_service;
    request.m_excluded = m_request.m_excluded;
    request.m_ownZone = m_services.m_options.m_zone;
    return m_services.m_routing.PickEndpoint(BootClock::now(), request);
  }

  bool HasOther(const RunnerPtr& aRunner)
  {
    const RunnerTable* table = m_services.m_routing.Runners();
    const auto* all = table ? table->FindService(m_request.m_service) : nullptr;
    return all != nullptr &&
           std::any_of(all->begin(), all->end(), [&](const RunnerPtr& aOther) {
             return aOther->m_id != aRunner->m_id &&
                    std::find(m_request.m_excluded.begin(),
                              m_request.m_excluded.end(),
                              aOther->m_id) == m_request.m_excluded.end();
           });
  }

  bool MayTryAgain(CallVerdict aVerdict)
  {
    const bool kindAllows =
      aVerdict == CallVerdict::NotRun || m_request.m_route->MayRepeat();
    const bool countAllows = m_connectFailures < kMaxConnectFailures &&
                             m_runs < m_request.m_route->m_maxAttempts;
    // Where no byte has left, the first sending is still to come.
    const bool isRepeat = m_request.m_attempts > 0;
    return kindAllows && countAllows && !m_request.m_caller->IsGone() &&
           (!isRepeat ||
            m_serviceState.m_retries.Spend(
              BootClock::now(), m_services.m_routing.GatewayCount()));
  }

  asio::awaitable<CallVerdict> Try(RunnerPtr aRunner)
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
      NoteFailure(*aRunner, "not_connected");
      co_return CallVerdict::NotRun;
    }
    ++m_request.m_attempts;
    ++m_runs;
    call->SetDeadline(ChooseDeadline(aRunner));
    const CallVerdict verdict = co_await Receive(*call);
    m_request.m_call = nullptr;
    const TimePoint now = BootClock::now();
    call->Release(now);
    if (verdict == CallVerdict::Ended &&
        m_request.m_end == RequestEnd::Answered) {
      FollowCircuit(*aRunner, "it answered a request", [&](TimePoint aNow) {
        aRunner->m_load->Clear(aNow);
      });
      m_serviceState.m_averageLatency +=
        (now - startedAt - m_serviceState.m_averageLatency) / kUsualWeight;
    }
    co_return verdict;
  }

  TimePoint ChooseDeadline(const RunnerPtr& aRunner)
  {
    const bool mayMove = m_request.m_route->MayRepeat() &&
                         m_runs < m_request.m_route->m_maxAttempts &&
                         HasOther(aRunner);
    if (!mayMove) {
      return m_request.m_deadline;
    }
    const Duration silence = std::max<Duration>(
      kMinSilence, m_serviceState.m_averageLatency * kSilenceFactor);
    return std::min(m_request.m_deadline, BootClock::now() + silence);
  }

  asio::awaitable<CallVerdict> Receive(EndpointCall& aCall)
  {
    std::string body;
    if (!co_await ReadOwnAnswer(aCall, body)) {
      co_return co_await NoteBroken(aCall);
    }
    const EndpointCall::Header& answer = aCall.Answer();
    const unsigned status = answer.result_int();
    const AnswerMarks marks = m_services.m_dialect.ReadAnswer(status, answer);
    NoteLoad(*aCall.Target(), marks);
    if (marks.m_isNotRun) {
      --m_runs;
      m_request.m_lastFault = "endpoint_refused";
      co_return CallVerdict::NotRun;
    }
    const bool isFailure = status >= kFirstServerError;
    if (isFailure && m_request.m_route->m_kind == RequestKind::Safe &&
        m_runs < m_request.m_route->m_maxAttempts && HasOther(aCall.Target()) &&
        m_serviceState.m_retries.Left(
          BootClock::now(), m_services.m_routing.GatewayCount()) >= 1) {
      m_request.m_lastFault = "endpoint_failed";
      co_return CallVerdict::Failed;
    }
    co_await Deliver(aCall, marks, std::move(body));
    co_return CallVerdict::Ended;
  }

  // Reads a whole answer, passing over answers to other requests.
  asio::awaitable<bool> ReadOwnAnswer(EndpointCall& aCall, std::string& aBody)
  {
    constexpr int kMostForeign = 2;
    for (int i = 0; i <= kMostForeign; ++i) {
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
      if (!IsForeign(aCall)) {
        co_return true;
      }
      aCall.SkipAnswer();
    }
    aCall.Abort(CallEnd::Foreign);
    co_return false;
  }

  bool IsForeign(const EndpointCall& aCall) const
  {
    const EndpointCall::Header& answer = aCall.Answer();
    const AnswerMarks marks =
      m_services.m_dialect.ReadAnswer(answer.result_int(), answer);
    if (marks.m_attemptId.empty()) {
      return answer.result_int() < kFirstClientError;
    }
    return marks.m_attemptId != m_request.m_marks.m_attemptId;
  }

  asio::awaitable<void> Deliver(EndpointCall& aCall,
                                const AnswerMarks& aMarks,
                                std::string aBody)
  {
    const EndpointCall::Header& answer = aCall.Answer();
    unsigned status = answer.result_int();
    const bool isSuccess = status < kFirstClientError;
    // The endpoint may have run it: no promise may be passed on.
    if (m_services.m_dialect.IsPromise(status) ||
        (isSuccess && !aMarks.m_isSigned)) {
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
    if (m_request.Http().method() != http::verb::head) {
      out.append(aBody);
    }
    if (!co_await m_request.m_caller->Write(std::move(out), kWriteTimeout)) {
      m_request.m_end = RequestEnd::CallerGone;
    }
  }

  asio::awaitable<CallVerdict> NoteBroken(EndpointCall& aCall)
  {
    const CallEnd end = aCall.End();
    if (end == CallEnd::CallerGone) {
      m_request.m_end = RequestEnd::CallerGone;
      co_return CallVerdict::Ended;
    }
    m_lastEnd = end;
    m_request.m_lastFault = NameOfEnd(end);
    if (end == CallEnd::Overdue) {
      FollowCircuit(*aCall.Target(), NameOfEnd(end), [&](TimePoint aNow) {
        aCall.Target()->m_load->RecordSilence(aNow, aCall.SentAt());
      });
      m_services.m_pool.Drop(*aCall.Target());
    } else {
      NoteFailure(*aCall.Target(), NameOfEnd(end));
    }
    co_return CallVerdict::Failed;
  }

  void NoteLoad(const Runner& aRunner, const AnswerMarks& aMarks)
  {
    if (aMarks.m_load) {
      aRunner.m_load->RecordReport(
        BootClock::now(), aMarks.m_load->m_waiting, aMarks.m_load->m_running);
    }
  }

  void NoteFailure(const Runner& aRunner, std::string_view aWhy)
  {
    FollowCircuit(aRunner, aWhy, [&](TimePoint aNow) {
      aRunner.m_load->RecordFailure(aNow);
    });
  }

  // Tells the log when aChange opens or closes the endpoint's circuit.
  template<typename Change>
  void FollowCircuit(const Runner& aRunner,
                     std::string_view aWhy,
                     Change aChange)
  {
    const TimePoint now = BootClock::now();
    const bool wasOk = aRunner.m_load->Circuit(now) == CircuitState::Ok;
    aChange(now);
    const bool isOk = aRunner.m_load->Circuit(now) == CircuitState::Ok;
    if (isOk == wasOk) {
      return;
    }
    m_services.m_log.Write(isOk ? DecisionEvent::EndpointCleared
                                : DecisionEvent::EndpointSuspected,
                           [&](DecisionLine& aLine) {
                             aLine.Add("endpoint", aRunner.m_id)
                               .Add("why", aWhy)
                               .Add("id", m_request.m_marks.m_attemptId);
                           });
  }

  // The promise of a refusal is given only if nothing can have run.
  asio::awaitable<void> EndWithoutAnswer(RefusalCause aCause)
  {
    if (m_request.m_caller->IsGone()) {
      m_request.m_end = RequestEnd::CallerGone;
      co_return;
    }
    if (m_runs == 0) {
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
  std::uint32_t m_runs = 0;
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
