// One attempt of a caller, from its arrival to its end.
#include "Forwarding/RequestJob.h"

#include <array>
#include <utility>

#include <boost/beast/http/rfc7230.hpp>

#include "Forwarding/RetryAfter.h"

namespace parsleycove {

namespace {

constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr unsigned kUnavailable = 503;

struct RefusalRow
{
  RefusalCause m_cause;
  std::string_view m_name;
  std::string_view m_text;
};

constexpr std::array<RefusalRow, 8> kRefusals{ {
  { RefusalCause::NoConfiguration,
    "no_configuration",
    "this VM has not received a configuration yet" },
  { RefusalCause::NoLease,
    "no_lease",
    "no quorum has confirmed this VM's configuration lately" },
  { RefusalCause::NoEndpoint, "no_endpoint", "the service has no endpoint" },
  { RefusalCause::NoPath, "no_path", "some layers of the model are not held" },
  { RefusalCause::PathsFull, "paths_full", "every path is full" },
  { RefusalCause::EndpointsRefuse,
    "endpoints_refuse",
    "the endpoints refused the request" },
  { RefusalCause::OutOfTime, "out_of_time", "no time was left to send it" },
  { RefusalCause::Stopping, "stopping", "this VM is about to end" },
} };

const RefusalRow&
RowOf(RefusalCause aCause)
{
  for (const RefusalRow& row : kRefusals) {
    if (row.m_cause == aCause) {
      return row;
    }
  }
  return kRefusals.front();
}

constexpr std::array<EnumName<CallEnd>, 8> kCallEndNames{ {
  { CallEnd::None, "none" },
  { CallEnd::NotConnected, "not_connected" },
  { CallEnd::Broken, "broken" },
  { CallEnd::Foreign, "foreign_answer" },
  { CallEnd::Overdue, "overdue" },
  { CallEnd::CallerGone, "caller_gone" },
  { CallEnd::StageLost, "stage_lost" },
  { CallEnd::Stalled, "stalled" },
} };

bool
IsOfConnection(http::field aField)
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

// Headers that the sender names in Connection belong to it, too.
bool
IsNamedByConnection(const http::fields& aFields, std::string_view aName)
{
  const auto connection = aFields[http::field::connection];
  return !connection.empty() && http::token_list(connection).exists(aName);
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
AppendConnection(std::string& aOut, const RequestJob& aJob)
{
  // A stop may have begun since the request came.
  if (aJob.m_services.m_drain.Phase(BootClock::now()) != DrainPhase::Serving) {
    aJob.m_caller->CloseAfterAnswer();
  }
  if (aJob.m_caller->ClosesAfterAnswer()) {
    AppendField(aOut, "Connection", "close");
  }
}

// The request leaves a second time, or once more.
void
NoteRepeat(RequestJob& aJob, const std::string& aFrom, bool aIsResumed)
{
  ForwardServices& services = aJob.m_services;
  if (aIsResumed) {
    ++aJob.m_resumes;
    ++services.m_metrics.Resumes();
  } else {
    ++services.m_metrics.Retries();
  }
  services.m_log.Write(aIsResumed ? DecisionEvent::StreamResumed
                                  : DecisionEvent::RequestSentAgain,
                       [&](DecisionLine& aLine) {
                         aLine.Add("id", aJob.m_headers.m_attemptId)
                           .Add("why", aJob.m_lastFault)
                           .Add("from", aFrom)
                           .Add("to", aJob.m_lastEndpoint)
                           .Add("attempts", aJob.m_attempts)
                           .AddMs("after_ms", BootClock::now() - aJob.m_arrival)
                           .AddMs("left_ms", aJob.TimeLeft());
                       });
}

} // namespace

std::string_view
NameOfEnd(CallEnd aEnd)
{
  return NameOf(kCallEndNames, aEnd);
}

std::string
MakeForwardHeader(const RequestJob& aJob, const ForwardHeaders& aHeaders)
{
  const HttpRequest& request = aJob.Request();
  const ForwardDialect& dialect = aJob.m_services.m_dialect;
  std::string out;
  out.append(request.method_string()).append(" ");
  out.append(request.target()).append(" HTTP/1.1\r\n");
  for (const auto& field : request) {
    const std::string_view name = field.name_string();
    if (!IsOfConnection(field.name()) && !dialect.IsReplacedHeader(name) &&
        !IsNamedByConnection(request, name)) {
      AppendField(out, name, field.value());
    }
  }
  dialect.WriteForwardHeaders(out, aHeaders);
  const bool hasBody = !request.body().empty() ||
                       request.has_content_length() || request.chunked();
  if (hasBody) {
    AppendField(out, "Content-Length", std::to_string(request.body().size()));
  }
  out.append("\r\n");
  return out;
}

std::string
MakeAnswerHeader(const RequestJob& aJob,
                 unsigned aStatus,
                 const ForwardCall::Header& aAnswer,
                 std::int64_t aLength)
{
  const ForwardDialect& dialect = aJob.m_services.m_dialect;
  const bool isOwnStatus = aStatus == aAnswer.result_int();
  std::string out;
  const std::string_view reason = aAnswer.reason();
  AppendStatusLine(out, aStatus, isOwnStatus ? reason : std::string_view{});
  for (const auto& field : aAnswer) {
    const std::string_view name = field.name_string();
    const bool isDropped = IsOfConnection(field.name()) ||
                           IsNamedByConnection(aAnswer, name) ||
                           (!isOwnStatus && dialect.IsSignatureHeader(name));
    if (!isDropped) {
      AppendField(out, name, field.value());
    }
  }
  if (aLength < 0) {
    AppendField(out, "Transfer-Encoding", "chunked");
  } else {
    AppendField(out, "Content-Length", std::to_string(aLength));
  }
  AppendConnection(out, aJob);
  out.append("\r\n");
  return out;
}

std::string
MakeOwnAnswer(const RequestJob& aJob,
              unsigned aStatus,
              std::string_view aText,
              Duration aRetryAfter)
{
  std::string out;
  AppendStatusLine(out, aStatus, {});
  aJob.m_services.m_dialect.WriteAnswerHeaders(out, aJob.m_headers.m_attemptId);
  if (aRetryAfter > Duration::zero()) {
    AppendField(out, "Retry-After", PrintSeconds(aRetryAfter));
  }
  AppendField(out, "Content-Type", "text/plain");
  AppendField(out, "Content-Length", std::to_string(aText.size()));
  AppendConnection(out, aJob);
  out.append("\r\n").append(aText);
  return out;
}

asio::awaitable<void>
Refuse(RequestJob& aJob, RefusalCause aCause)
{
  const RefusalRow& row = RowOf(aCause);
  RoutingBoard& board = aJob.m_services.m_board;
  const Duration retryAfter =
    ChooseRetryAfter(aCause, aJob.TimeLeft(), board.DrawFraction());
  aJob.m_end = RequestEnd::Refused;
  aJob.m_status = kUnavailable;
  aJob.m_why = row.m_name;
  aJob.m_services.m_log.Write(
    DecisionEvent::RequestRefused, [&](DecisionLine& aLine) {
      aLine.Add("id", aJob.m_headers.m_attemptId)
        .Add("cause", row.m_name)
        .Add("route", aJob.m_route ? aJob.m_route->m_name : "")
        .Add("service", aJob.m_service)
        .Add("attempts", aJob.m_attempts)
        .Add("last_endpoint", aJob.m_lastEndpoint)
        .Add("last_fault", aJob.m_lastFault);
      if (!aJob.m_detail.empty()) {
        aLine.Add("detail", aJob.m_detail);
      }
      if (aCause == RefusalCause::PathsFull) {
        const PathUtilization& fill = aJob.m_fill;
        aLine
          .Add("fill_percent", static_cast<std::int64_t>(fill.m_fraction * 100))
          .Add("tightest",
               fill.m_bottleneck ? fill.m_bottleneck->m_id : "slots")
          .Add("streams", static_cast<std::int64_t>(fill.m_streams));
      }
      aLine.AddMs("after_ms", BootClock::now() - aJob.m_arrival)
        .AddMs("left_ms", aJob.TimeLeft())
        .AddMs("retry_after_ms", retryAfter);
    });
  co_await aJob.m_caller->Write(
    MakeOwnAnswer(aJob, kUnavailable, row.m_text, retryAfter), kWriteTimeout);
}

asio::awaitable<void>
Fail(RequestJob& aJob, unsigned aStatus, std::string aWhy)
{
  aJob.m_end = RequestEnd::Failed;
  aJob.m_status = aStatus;
  aJob.m_why = std::move(aWhy);
  co_await aJob.m_caller->Write(
    MakeOwnAnswer(aJob, aStatus, aJob.m_why, Duration::zero()), kWriteTimeout);
}

asio::awaitable<ForwardCallPtr>
StartCall(RequestJob& aJob,
          RunnerPtr aRunner,
          StagePathPtr aPath,
          ForwardHeaders aHeaders,
          Duration aConnectTimeout)
{
  ForwardServices& services = aJob.m_services;
  auto call = std::make_shared<ForwardCall>(
    services.m_context.get_executor(),
    services.m_pool,
    aRunner,
    std::move(aPath),
    CallSubject{ std::string(aJob.m_headers.m_attemptId),
                 aJob.m_expectedTokens,
                 aJob.m_headers.m_promptTokens });
  services.m_callWatch.Add(*call);
  aJob.m_call = call;
  const std::string before = std::exchange(aJob.m_lastEndpoint, aRunner->m_id);
  const bool connected = co_await call->Connect(aConnectTimeout);
  if (call->IsNewConnection()) {
    ++services.m_metrics.NewConnections();
  }
  if (!connected || aJob.m_caller->IsDisconnected()) {
    aJob.m_lastFault = NameOfEnd(call->End());
    co_return nullptr;
  }
  aHeaders.m_runner = call->Target().get();
  aHeaders.m_path = call->Path().get();
  aHeaders.m_timeLeft = aJob.TimeLeft();
  if (aHeaders.m_timeLeft <= Duration::zero()) {
    call->Abort(CallEnd::NotConnected);
    aJob.m_lastFault = NameOfEnd(call->End());
    co_return nullptr;
  }
  if (aJob.m_account != nullptr) {
    aHeaders.m_account = aJob.m_account->m_name;
  }
  call->Send(MakeForwardHeader(aJob, aHeaders), aJob.Request().body());
  if (aJob.m_attempts != 0) {
    NoteRepeat(aJob, before, aHeaders.m_isResumed);
  }
  aJob.m_lastFault = {};
  co_return call;
}

} // namespace parsleycove
