// State and answers of one attempt of a caller, from its arrival to its end.
#include "Forwarding/ForwardedRequest.h"

#include <array>
#include <utility>

#include "Base/RequestIdentity.h"
#include "Forwarding/PromptPartReporter.h"
#include "Forwarding/ReachMonitor.h"
#include "Forwarding/RetryAfter.h"
#include "Wire/ConnectionOptions.h"

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr unsigned kUnavailable = 503;
constexpr unsigned kFirstClientError = 400;

struct RefusalRow
{
  RefusalCause m_cause;
  std::string_view m_name;
  std::string_view m_text;
};

constexpr std::array<RefusalRow, 15> kRefusals{ {
  { RefusalCause::NoConfiguration,
    "no_configuration",
    "this VM has not received a configuration yet" },
  { RefusalCause::NoLease,
    "no_lease",
    "no quorum has confirmed this VM's configuration lately" },
  { RefusalCause::NoEndpoint, "no_endpoint", "the service has no endpoint" },
  { RefusalCause::NoPath, "no_path", "some layers of the model are not held" },
  { RefusalCause::PathsFull, "paths_full", "every path is full" },
  { RefusalCause::GaveWay,
    "gave_way",
    "more urgent requests take the room of the paths" },
  { RefusalCause::EndpointsRefuse,
    "endpoints_refuse",
    "the endpoints refused the request" },
  { RefusalCause::EndpointsPaused,
    "endpoints_paused",
    "the endpoints want no new work for now" },
  { RefusalCause::EndpointsLimited,
    "endpoints_limited",
    "the endpoints take no more requests for now" },
  { RefusalCause::CrashingPrompt,
    "crashing_prompt",
    "a part of the prompt crashes the endpoints" },
  { RefusalCause::CrashingRequest,
    "crashing_request",
    "this request crashes the endpoints" },
  { RefusalCause::OutOfTime, "out_of_time", "no time was left to send it" },
  { RefusalCause::Stopping, "stopping", "this VM is about to end" },
  { RefusalCause::EndpointsUnreached,
    "endpoints_unreached",
    "this VM reaches no endpoint of the service" },
  { RefusalCause::Overloaded,
    "overloaded",
    "this VM takes no more requests over from other VMs" },
} };

const RefusalRow&
FindRefusal(RefusalCause aCause)
{
  for (const RefusalRow& row : kRefusals) {
    if (row.m_cause == aCause) {
      return row;
    }
  }
  return kRefusals.front();
}

constexpr std::array<EnumName<CallEnd>, 10> kCallEndNames{ {
  { CallEnd::None, "none" },
  { CallEnd::NotConnected, "not_connected" },
  { CallEnd::Broken, "broken" },
  { CallEnd::OverBudget, "over_budget" },
  { CallEnd::Foreign, "foreign_answer" },
  { CallEnd::Overdue, "overdue" },
  { CallEnd::CallerGone, "caller_gone" },
  { CallEnd::StageLost, "stage_lost" },
  { CallEnd::Stalled, "stalled" },
  { CallEnd::Superseded, "superseded" },
} };

bool
IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  aOut.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendStatusLine(std::string& aOut, unsigned aStatus, std::string_view aReason)
{
  aOut.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  const std::string_view usual =
    http::obsolete_reason(static_cast<http::status>(aStatus));
  aOut.append(aReason.empty() ? usual : aReason);
  aOut.append("\r\n");
}

void
AppendConnection(std::string& aOut, const ForwardedRequest& aRequest)
{
  // A shutdown may have begun since the request arrived.
  if (aRequest.m_services.m_drain.Phase(BootClock::now()) !=
      DrainPhase::Serving) {
    aRequest.m_caller->CloseAfterAnswer();
  }
  if (aRequest.m_caller->ClosesAfterAnswer()) {
    AppendField(aOut, "Connection", "close");
  }
}

// Counts and logs a retry.
void
RecordRetry(ForwardedRequest& aRequest,
            const std::string& aFrom,
            bool aIsResumed)
{
  ForwardServices& services = aRequest.m_services;
  if (aIsResumed) {
    ++aRequest.m_resumes;
    ++services.m_metrics.Resumes();
  } else {
    ++services.m_metrics.Retries();
  }
  services.m_log.Write(
    aIsResumed ? DecisionEvent::StreamResumed : DecisionEvent::RequestSentAgain,
    [&](DecisionLine& aLine) {
      aLine.Add("id", aRequest.m_headers.m_attemptId)
        .Add("why", aRequest.m_lastFault)
        .Add("from", aFrom)
        .Add("to", aRequest.m_lastEndpoint)
        .Add("attempts", aRequest.m_attempts)
        .AddMs("after_ms", BootClock::now() - aRequest.m_arrival)
        .AddMs("left_ms", aRequest.TimeLeft());
    });
}

// Takes one request from the quotas of all endpoints of a call, and gives it
// back unless it is spent.
class QuotaClaim
{
public:
  QuotaClaim(TimePoint aNow, const Runner& aRunner, const StagePath* aPath)
  {
    if (aPath == nullptr) {
      m_loads.push_back(aRunner.m_load);
    } else {
      for (const PathStage& stage : aPath->m_stages) {
        m_loads.push_back(stage.m_runner->m_load);
      }
    }
    for (const auto& load : m_loads) {
      load->Quota().Take(aNow);
    }
  }
  ~QuotaClaim()
  {
    for (const auto& load : m_loads) {
      load->Quota().GiveBack(BootClock::now());
    }
  }
  QuotaClaim(const QuotaClaim&) = delete;
  QuotaClaim& operator=(const QuotaClaim&) = delete;

  // The request has been sent.
  void Spend(TimePoint aNow)
  {
    for (const auto& load : m_loads) {
      load->SentRequests().Record(aNow);
    }
    m_loads.clear();
  }

private:
  std::vector<boost::intrusive_ptr<RunnerLoad>> m_loads;
};

} // namespace

std::vector<std::string_view>
ForwardedRequest::Parts() const
{
  std::vector<std::string_view> parts = m_headers.m_sharedParts;
  parts.push_back(m_identity);
  return parts;
}

std::optional<RefusalCause>
ForwardedRequest::CauseNotToSend(bool aMayHaveRun) const
{
  const bool isDraining =
    m_services.m_drain.Phase(BootClock::now()) == DrainPhase::Draining;
  if (isDraining && !aMayHaveRun) {
    return RefusalCause::Stopping;
  }
  return IsOutOfTime() ? std::optional(RefusalCause::OutOfTime) : std::nullopt;
}

std::string_view
NameOfEnd(CallEnd aEnd)
{
  return NameOf(kCallEndNames, aEnd);
}

std::string_view
NameOfCause(RefusalCause aCause)
{
  return FindRefusal(aCause).m_name;
}

std::optional<RefusalCause>
ReadHelperRefusal(const EndpointCall::Header& aAnswer)
{
  const std::string_view name = aAnswer[kRefusedForHeader];
  for (const RefusalRow& row : kRefusals) {
    if (aAnswer.result_int() == kUnavailable && row.m_name == name) {
      return row.m_cause;
    }
  }
  return std::nullopt;
}

bool
IsHelperFault(RefusalCause aCause)
{
  return aCause == RefusalCause::NoConfiguration ||
         aCause == RefusalCause::NoLease || aCause == RefusalCause::Stopping ||
         aCause == RefusalCause::EndpointsUnreached ||
         aCause == RefusalCause::Overloaded;
}

bool
IsForeignAnswer(const ForwardedRequest& aRequest,
                const EndpointCall& aCall,
                const AnswerHeaders& aHeaders)
{
  if (!aHeaders.m_attemptId.empty()) {
    return aHeaders.m_attemptId != aRequest.m_headers.m_attemptId;
  }
  const bool isError = aCall.Answer().result_int() >= kFirstClientError;
  return !isError || (aHeaders.m_isNotExecuted && !aCall.IsNewConnection());
}

bool
MustPassOn(const ForwardedRequest& aRequest)
{
  return !aRequest.m_passedOn &&
         aRequest.m_services.m_reach.IsUnreached(aRequest.m_service);
}

std::string
MakeForwardHeader(const ForwardedRequest& aRequest,
                  const ForwardHeaders& aHeaders)
{
  const HttpRequest& request = aRequest.Http();
  const ForwardDialect& dialect = aRequest.m_services.m_dialect;
  const bool isPassedOn =
    aHeaders.m_runner != nullptr && aHeaders.m_runner->m_isGateway;
  const ConnectionOptions options(request);
  std::string out;
  out.append(request.method_string()).append(" ");
  out.append(request.target()).append(" HTTP/1.1\r\n");
  for (const auto& field : request) {
    const std::string_view name = field.name_string();
    const bool isReplaced = dialect.IsReplacedHeader(name) &&
                            !(isPassedOn && dialect.IsAccountHeader(name));
    if (!IsHopByHop(field.name()) && !isReplaced && !IsPassedOnHeader(name) &&
        !options.Contains(name)) {
      AppendField(out, name, field.value());
    }
  }
  if (isPassedOn) {
    ForwardHeaders headers;
    headers.m_timeLeft = aHeaders.m_timeLeft;
    headers.m_lastEventId = aHeaders.m_lastEventId;
    dialect.WriteForwardHeaders(out, headers);
    AppendField(out,
                kPassedOnHeader,
                FormatPassedOn({ aRequest.m_services.m_options.m_vm,
                                 aRequest.m_attempts,
                                 aRequest.m_isCounted }));
  } else {
    dialect.WriteForwardHeaders(out, aHeaders);
  }
  const bool hasBody = !request.body().empty() ||
                       request.has_content_length() || request.chunked();
  if (hasBody) {
    AppendField(out, "Content-Length", std::to_string(request.body().size()));
  }
  out.append("\r\n");
  return out;
}

std::string
MakeAnswerHeader(const ForwardedRequest& aRequest,
                 unsigned aStatus,
                 const EndpointCall::Header& aAnswer,
                 std::int64_t aLength)
{
  const ForwardDialect& dialect = aRequest.m_services.m_dialect;
  const bool isEndpointStatus = aStatus == aAnswer.result_int();
  std::string out;
  const std::string_view reason = aAnswer.reason();
  AppendStatusLine(
    out, aStatus, isEndpointStatus ? reason : std::string_view{});
  const ConnectionOptions options(aAnswer);
  for (const auto& field : aAnswer) {
    const std::string_view name = field.name_string();
    // An endpoint's notices are for the VM that called the endpoint.
    const bool isDropped =
      IsHopByHop(field.name()) || options.Contains(name) ||
      (!isEndpointStatus && dialect.IsSignatureHeader(name)) ||
      (aRequest.m_passedOn && dialect.IsNoticeHeader(name));
    if (!isDropped) {
      AppendField(out, name, field.value());
    }
  }
  if (aLength < 0) {
    AppendField(out, "Transfer-Encoding", "chunked");
  } else {
    AppendField(out, "Content-Length", std::to_string(aLength));
  }
  AppendConnection(out, aRequest);
  out.append("\r\n");
  return out;
}

asio::awaitable<bool>
WriteAnswer(ForwardedRequest& aRequest,
            EndpointCall& aCall,
            std::string aBytes,
            Duration aTimeout)
{
  aCall.SetOnRefused([caller = aRequest.m_caller] { caller->Close(); });
  const bool isWritten =
    co_await aRequest.m_caller->Write(std::move(aBytes), aTimeout);
  aCall.SetOnRefused(nullptr);
  co_return isWritten;
}

RequestEnd
EndOfUnwritten(ForwardedRequest& aRequest, const EndpointCall& aCall)
{
  if (aCall.End() != CallEnd::OverBudget) {
    return RequestEnd::CallerGone;
  }
  aRequest.m_why =
    "the caller read too slowly while the answers' memory was full";
  return RequestEnd::Cut;
}

std::string
MakeGatewayAnswer(const ForwardedRequest& aRequest,
                  unsigned aStatus,
                  std::string_view aText,
                  Duration aRetryAfter)
{
  std::string out;
  AppendStatusLine(out, aStatus, {});
  aRequest.m_services.m_dialect.WriteAnswerHeaders(
    out, aRequest.m_headers.m_attemptId);
  if (aRetryAfter > Duration::zero()) {
    AppendField(out, "Retry-After", FormatSeconds(aRetryAfter));
  }
  if (aRequest.m_passedOn && aRequest.m_end == RequestEnd::Refused) {
    AppendField(out, kRefusedForHeader, aRequest.m_why);
  }
  AppendField(out, "Content-Type", "text/plain");
  AppendField(out, "Content-Length", std::to_string(aText.size()));
  AppendConnection(out, aRequest);
  out.append("\r\n").append(aText);
  return out;
}

asio::awaitable<void>
Refuse(ForwardedRequest& aRequest, RefusalCause aCause)
{
  const RefusalRow& row = FindRefusal(aCause);
  RoutingState& routing = aRequest.m_services.m_routing;
  const TimePoint now = BootClock::now();
  const RefusedCaller caller{
    aCause,
    aRequest.TimeLeft(),
    std::max(aRequest.m_availableAt - now, Duration::zero()),
    routing.DrawFraction(),
  };
  const Duration retryAfter = ChooseRetryAfter(
    now, caller, routing.ServiceState(aRequest.m_service).m_returns);
  aRequest.m_end = RequestEnd::Refused;
  aRequest.m_status = kUnavailable;
  aRequest.m_why = row.m_name;
  aRequest.m_services.m_log.Write(
    DecisionEvent::RequestRefused, [&](DecisionLine& aLine) {
      aLine.Add("id", aRequest.m_headers.m_attemptId)
        .Add("cause", row.m_name)
        .Add("route", aRequest.m_route ? aRequest.m_route->m_name : "")
        .Add("service", aRequest.m_service)
        .Add("attempts", aRequest.m_attempts)
        .Add("last_endpoint", aRequest.m_lastEndpoint)
        .Add("last_fault", aRequest.m_lastFault);
      if (aRequest.m_level) {
        aLine.Add("level", static_cast<std::int64_t>(*aRequest.m_level));
      }
      if (!aRequest.m_detail.empty()) {
        aLine.Add("detail", aRequest.m_detail);
      }
      if (aCause == RefusalCause::PathsFull ||
          aCause == RefusalCause::GaveWay) {
        const PathUtilization& utilization = aRequest.m_utilization;
        aLine
          .Add("fill_percent",
               static_cast<std::int64_t>(utilization.m_fraction * 100))
          .Add("tightest",
               utilization.m_bottleneck ? utilization.m_bottleneck->m_id
                                        : "slots")
          .Add("streams", static_cast<std::int64_t>(utilization.m_streams));
      }
      aLine.AddMs("after_ms", BootClock::now() - aRequest.m_arrival)
        .AddMs("left_ms", aRequest.TimeLeft())
        .AddMs("retry_after_ms", retryAfter);
    });
  co_await aRequest.m_caller->Write(
    MakeGatewayAnswer(aRequest, kUnavailable, row.m_text, retryAfter),
    kWriteTimeout);
}

asio::awaitable<bool>
MayTryParts(ForwardedRequest& aRequest, bool& aIsTrial)
{
  PromptPartReporter& reporter = aRequest.m_services.m_promptParts;
  const PartDecision decision = reporter.Decide(aRequest.Parts());
  if (decision.m_verdict == PartVerdict::Serve) {
    co_return true;
  }
  if (decision.m_verdict == PartVerdict::Try) {
    aIsTrial = co_await reporter.ClaimTrial(
      decision.m_part, std::string(aRequest.m_headers.m_attemptId));
  }
  if (!aIsTrial) {
    aRequest.m_crashingPart = decision.m_part;
    aRequest.m_detail = "part " + decision.m_part;
    aRequest.m_availableAt = BootClock::now() + decision.m_untilTrial;
  }
  co_return aIsTrial;
}

RefusalCause
CauseOfParts(const ForwardedRequest& aRequest)
{
  return IsWholeRequest(aRequest.m_crashingPart) ? RefusalCause::CrashingRequest
                                                 : RefusalCause::CrashingPrompt;
}

asio::awaitable<void>
Fail(ForwardedRequest& aRequest, unsigned aStatus, std::string aWhy)
{
  aRequest.m_end = RequestEnd::Failed;
  aRequest.m_status = aStatus;
  aRequest.m_why = std::move(aWhy);
  co_await aRequest.m_caller->Write(
    MakeGatewayAnswer(aRequest, aStatus, aRequest.m_why, Duration::zero()),
    kWriteTimeout);
}

asio::awaitable<EndpointCallPtr>
StartCall(ForwardedRequest& aRequest,
          RunnerPtr aRunner,
          StagePathPtr aPath,
          ForwardHeaders aHeaders,
          Duration aConnectTimeout)
{
  ForwardServices& services = aRequest.m_services;
  auto call = std::make_shared<EndpointCall>(
    services.m_context.get_executor(),
    services.m_pool,
    aRunner,
    std::move(aPath),
    CallInfo{ std::string(aRequest.m_headers.m_attemptId),
              aRequest.m_expectedTokens,
              aRequest.m_headers.m_promptTokens,
              aRequest.m_level.value_or(0) });
  call->CountAnswer(services.m_answerBudget,
                    [&services] { ++services.m_metrics.AnswersOverBudget(); });
  services.m_callDeadlines.Add(*call);
  aRequest.m_call = call;
  QuotaClaim quota(BootClock::now(), *aRunner, call->Path().get());
  const std::string before =
    std::exchange(aRequest.m_lastEndpoint, aRunner->m_id);
  const TimePoint connectedAt = BootClock::now();
  const bool connected = co_await call->Connect(aConnectTimeout);
  if (call->IsNewConnection()) {
    ++services.m_metrics.NewConnections();
    if (!connected && call->End() == CallEnd::NotConnected) {
      services.m_reach.RecordUnreached(
        call->HasConnectTimedOut() ? connectedAt : BootClock::now(), *aRunner);
    }
  }
  if (!connected || aRequest.m_caller->IsDisconnected()) {
    aRequest.m_lastFault = NameOfEnd(call->End());
    co_return nullptr;
  }
  aHeaders.m_runner = call->Target().get();
  aHeaders.m_path = call->Path().get();
  aHeaders.m_timeLeft = aRequest.TimeLeft();
  if (aHeaders.m_timeLeft <= Duration::zero()) {
    call->Abort(CallEnd::NotConnected);
    aRequest.m_lastFault = NameOfEnd(call->End());
    co_return nullptr;
  }
  if (aRequest.m_account != nullptr) {
    aHeaders.m_account = aRequest.m_account->m_name;
  }
  aHeaders.m_level = aRequest.m_level;
  call->Send(MakeForwardHeader(aRequest, aHeaders), aRequest.Http().body());
  quota.Spend(BootClock::now());
  if (aRunner->m_isGateway) {
    ++services.m_metrics.PassedOn();
    services.m_log.Write(DecisionEvent::RequestPassedOn,
                         [&](DecisionLine& aLine) {
                           aLine.Add("id", aRequest.m_headers.m_attemptId)
                             .Add("to", aRunner->m_id)
                             .Add("service", aRequest.m_service)
                             .Add("attempts", aRequest.m_attempts)
                             .AddMs("left_ms", aRequest.TimeLeft());
                         });
  }
  if (aRequest.m_attempts != 0) {
    RecordRetry(aRequest, before, aHeaders.m_isResumed);
  }
  aRequest.m_lastFault = {};
  co_return call;
}

} // namespace parsleycove
