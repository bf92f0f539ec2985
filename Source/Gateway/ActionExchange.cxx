// One call that may not be repeated, from the ledger to the service and back.
#include "Gateway/ActionExchange.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "Base/DrainState.h"
#include "Gateway/Worker.h"
#include "Routing/RunnerTable.h"
#include "Telemetry/Logging.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

namespace {

// How long the outcome is still awaited and committed after the caller's
// deadline, for the ledger's sake.
constexpr Duration kSettleTime = std::chrono::seconds(20);
// How long the caller's answer may lag the deadline, so that a refusal can
// still be committed.
constexpr Duration kAnswerSlack = std::chrono::milliseconds(300);
constexpr Duration kJoinPollInterval = std::chrono::milliseconds(50);
constexpr Duration kRetrySoon = std::chrono::seconds(1);
constexpr const char* kNewKeyAdvice =
  "; it will not run under this key, try again with a new one";
constexpr unsigned kHttp11 = 11;
constexpr unsigned kConflict = 409;

bool
SaysNotRun(const HttpResponse& aResponse)
{
  if (aResponse.result_int() != kConflict) {
    return false;
  }
  boost::json::error_code error;
  const std::string& body = aResponse.body();
  const boost::json::value document = boost::json::parse(
    boost::json::string_view(body.data(), body.size()), error);
  if (error || !document.is_object()) {
    return false;
  }
  const boost::json::value* outcome =
    document.get_object().if_contains("outcome");
  return outcome && outcome->is_string() && outcome->get_string() == "not_run";
}

} // namespace

ActionExchange::ActionExchange(const GatewayServices& aServices,
                               Worker& aWorker,
                               ActionCall aCall)
  : m_services(aServices)
  , m_worker(aWorker)
  , m_call(std::move(aCall))
  , m_trace(aServices.m_spans, m_call.m_traceParent)
  , m_answer(aWorker.Context().get_executor())
{
  m_trace.RenameRoot("exchange");
}

asio::awaitable<ActionAnswer>
ActionExchange::RunAndWait()
{
  const auto self = shared_from_this();
  const auto run = [self]() -> asio::awaitable<void> {
    const ActiveRequest active(self->m_services.m_drain);
    co_await self->Run();
  };
  asio::co_spawn(m_worker.Context(), run, asio::detached);
  const Duration timeout = m_call.m_deadline + kAnswerSlack - Now();
  std::optional<ActionAnswer> answer = co_await m_answer.Await(timeout);
  if (answer) {
    co_return std::move(*answer);
  }
  co_return Unknown("the deadline has passed");
}

asio::awaitable<void>
ActionExchange::Run()
{
  state::ReserveActionT reserve;
  reserve.account = m_call.m_account;
  reserve.key = m_call.m_key;
  reserve.fingerprint = m_call.m_fingerprint;
  reserve.gateway = m_services.m_options.m_vm;
  reserve.gateway_epoch = m_services.m_options.m_epoch;
  reserve.unix_ms = UnixMs();
  const ProposeOutcome outcome =
    co_await ProposeUntil(MakeCommand(std::move(reserve)), m_call.m_deadline);
  ActionAnswer answer;
  if (!outcome.m_result) {
    // Nothing was sent, but an earlier call with this key may have run.
    answer.m_error = ApiError{ ApiErrorCode::ControlUnavailable,
                               "the action ledger cannot be reached: " +
                                 outcome.m_reason.m_text,
                               CallOutcome::NotAttempted,
                               kRetrySoon };
  } else if (outcome.m_result->code != state::ResultCode::Ok) {
    answer = AnswerFromRefusal(*outcome.m_result);
  } else if (outcome.m_result->owner) {
    answer = co_await RunOwned(outcome.m_result->attempt);
  } else {
    answer = co_await Join();
  }
  m_answer.Set(std::move(answer));
}

asio::awaitable<ActionAnswer>
ActionExchange::RunOwned(std::uint64_t aAttempt)
{
  const RunnerPtr target = ChooseServiceEndpoint();
  if (!target) {
    co_return co_await Abandon(aAttempt,
                               false,
                               "no endpoint of service " + m_call.m_service +
                                 " is ready",
                               ApiErrorCode::NoRunner);
  }
  state::DispatchActionT dispatch;
  dispatch.account = m_call.m_account;
  dispatch.key = m_call.m_key;
  dispatch.attempt = aAttempt;
  dispatch.endpoint = std::make_unique<state::EndpointRefT>();
  dispatch.endpoint->id = target->m_id;
  dispatch.endpoint->incarnation = target->m_incarnation;
  dispatch.unix_ms = UnixMs();
  const ProposeOutcome outcome =
    co_await ProposeUntil(MakeCommand(std::move(dispatch)), m_call.m_deadline);
  if (outcome.m_result &&
      outcome.m_result->code == state::ResultCode::StaleAttempt) {
    co_return co_await Join();
  }
  if (!outcome.m_result || outcome.m_result->code != state::ResultCode::Ok) {
    co_return co_await Abandon(aAttempt,
                               false,
                               "the dispatch could not be committed",
                               ApiErrorCode::ControlUnavailable);
  }
  // Also judged here, since this process may have been frozen until now.
  if (Now() >= m_call.m_deadline) {
    co_return co_await Abandon(aAttempt,
                               false,
                               "the deadline passed before anything was sent",
                               ApiErrorCode::DeadlineExceeded);
  }
  co_return co_await SendAndSettle(aAttempt, *target);
}

RunnerPtr
ActionExchange::ChooseServiceEndpoint()
{
  PickRequest request;
  request.m_service = m_call.m_service;
  request.m_ownZone = m_services.m_options.m_zone;
  const auto table = m_services.m_runners.Read();
  return m_worker.Picker().Pick(Now(), *table, request);
}

HttpRequest
ActionExchange::MakeRequest(const Runner& aTarget,
                            const std::string& aTraceParent) const
{
  HttpRequest request(
    http::string_to_verb(m_call.m_method), m_call.m_path, kHttp11);
  request.set(http::field::host, aTarget.m_address.ToString());
  request.set("Idempotency-Key", m_call.m_key);
  request.set("traceparent", aTraceParent);
  if (!m_call.m_contentType.empty()) {
    request.set(http::field::content_type, m_call.m_contentType);
  }
  request.keep_alive(true);
  request.body() = m_call.m_body;
  request.prepare_payload();
  return request;
}

asio::awaitable<ActionAnswer>
ActionExchange::SendAndSettle(std::uint64_t aAttempt, const Runner& aTarget)
{
  const OpenSpan span = m_trace.StartSpan("service");
  HttpRequest request = MakeRequest(aTarget, span.m_context.ToHeader());
  // An answer after the caller's deadline still settles the ledger.
  const Duration timeout = m_call.m_deadline + kSettleTime - Now();
  const CallResult result = co_await m_worker.Endpoints().Call(
    aTarget.m_address, std::move(request), timeout, ConnectionChoice::New);
  m_trace.EndSpan(span, !result.m_response, { { "endpoint", aTarget.m_id } });
  if (result.m_response) {
    co_return co_await SettleResponse(aAttempt, *result.m_response);
  }
  if (result.IsUnsent()) {
    co_return co_await Abandon(
      aAttempt, false, result.m_reason.m_text, ApiErrorCode::EndpointFailed);
  }
  co_return co_await Doubt(aAttempt, result.m_reason.m_text);
}

asio::awaitable<ActionAnswer>
ActionExchange::SettleResponse(std::uint64_t aAttempt,
                               const HttpResponse& aResponse)
{
  if (m_call.m_serviceReportsNotRun && SaysNotRun(aResponse)) {
    co_return co_await Abandon(aAttempt,
                               true,
                               "the service says that it did not run",
                               ApiErrorCode::EndpointFailed);
  }
  state::StoredAnswerT stored;
  stored.status = static_cast<std::uint16_t>(aResponse.result_int());
  stored.content_type = std::string(aResponse[http::field::content_type]);
  stored.body = aResponse.body();
  state::CompleteActionT complete;
  complete.account = m_call.m_account;
  complete.key = m_call.m_key;
  complete.attempt = aAttempt;
  complete.answer = std::make_unique<state::StoredAnswerT>(stored);
  complete.unix_ms = UnixMs();
  const ProposeOutcome outcome = co_await ProposeUntil(
    MakeCommand(std::move(complete)), m_call.m_deadline + kSettleTime);
  if (!outcome.m_result || outcome.m_result->code != state::ResultCode::Ok) {
    Log(LogLevel::Warning,
        "action ran, but its answer is not in the ledger",
        { { "account", m_call.m_account },
          { "key", m_call.m_key },
          { "reason",
            outcome.m_result ? outcome.m_result->text
                             : outcome.m_reason.m_text } });
  }
  // The service's own answer is true whatever the ledger says.
  ActionAnswer answer;
  answer.m_stored = std::move(stored);
  co_return answer;
}

asio::awaitable<ActionAnswer>
ActionExchange::Abandon(std::uint64_t aAttempt,
                        bool aServiceWord,
                        std::string aWhy,
                        ApiErrorCode aCode)
{
  state::AbandonActionT abandon;
  abandon.account = m_call.m_account;
  abandon.key = m_call.m_key;
  abandon.attempt = aAttempt;
  abandon.service_word = aServiceWord;
  abandon.not_sent = !aServiceWord;
  abandon.reason = aWhy;
  abandon.unix_ms = UnixMs();
  const ProposeOutcome outcome = co_await ProposeUntil(
    MakeCommand(std::move(abandon)), m_call.m_deadline + kSettleTime);
  const bool isCommitted =
    outcome.m_result && outcome.m_result->code == state::ResultCode::Ok;
  if (!isCommitted) {
    co_return Unknown(aWhy + "; the ledger could not be told");
  }
  ActionAnswer answer;
  answer.m_error =
    ApiError{ aCode, aWhy + kNewKeyAdvice, CallOutcome::NotRun, kRetrySoon };
  co_return answer;
}

asio::awaitable<ActionAnswer>
ActionExchange::Doubt(std::uint64_t aAttempt, std::string aWhy)
{
  state::DoubtActionT doubt;
  doubt.account = m_call.m_account;
  doubt.key = m_call.m_key;
  doubt.attempt = aAttempt;
  doubt.unix_ms = UnixMs();
  co_await ProposeUntil(MakeCommand(std::move(doubt)),
                        m_call.m_deadline + kSettleTime);
  co_return Unknown(std::move(aWhy));
}

asio::awaitable<ActionAnswer>
ActionExchange::Join()
{
  while (Now() < m_call.m_deadline) {
    const ReadActionOutcome outcome = co_await ReadAction(m_services.m_control,
                                                          m_worker.Context(),
                                                          m_call.m_account,
                                                          m_call.m_key,
                                                          m_call.m_deadline);
    if (outcome.m_record) {
      const state::ActionState found = outcome.m_record->state;
      const bool isUnderWay = found == state::ActionState::Reserved ||
                              found == state::ActionState::Dispatched;
      if (!isUnderWay) {
        co_return AnswerFromRecord(*outcome.m_record);
      }
    }
    asio::steady_timer timer(m_worker.Context(), kJoinPollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  ActionAnswer answer;
  answer.m_error = ApiError{ ApiErrorCode::InProgress,
                             "another call with this key is under way",
                             CallOutcome::Unknown,
                             kRetrySoon };
  co_return answer;
}

asio::awaitable<ProposeOutcome>
ActionExchange::ProposeUntil(state::CommandT aCommand, TimePoint aDeadline)
{
  const OpenSpan span = m_trace.StartSpan(
    std::string("ledger ") + state::EnumNameCommandBody(aCommand.body.type));
  ProposeOutcome outcome = co_await Propose(
    m_services.m_control, m_worker.Context(), std::move(aCommand), aDeadline);
  m_trace.EndSpan(span, !outcome.m_result);
  co_return outcome;
}

ActionAnswer
ActionExchange::AnswerFromRecord(const state::ActionRecordT& aRecord) const
{
  ActionAnswer answer;
  answer.m_isReplayed = true;
  if (aRecord.state == state::ActionState::Done && aRecord.answer) {
    answer.m_stored = *aRecord.answer;
    return answer;
  }
  if (aRecord.state == state::ActionState::NotRun) {
    answer.m_error = ApiError{ ApiErrorCode::EndpointFailed,
                               aRecord.reason + kNewKeyAdvice,
                               CallOutcome::NotRun,
                               kRetrySoon };
    return answer;
  }
  return Unknown("the call may have reached the service");
}

ActionAnswer
ActionExchange::AnswerFromRefusal(const state::CommandResultT& aResult) const
{
  ActionAnswer answer;
  answer.m_error = ApiError{};
  ApiError& error = *answer.m_error;
  error.m_message = aResult.text;
  error.m_outcome = CallOutcome::NotAttempted;
  switch (aResult.code) {
    case state::ResultCode::KeyReused:
      error.m_code = ApiErrorCode::IdempotencyKeyReused;
      break;
    case state::ResultCode::KeyExpired:
      error.m_code = ApiErrorCode::IdempotencyKeyExpired;
      break;
    case state::ResultCode::LedgerFull:
      error.m_code = ApiErrorCode::Overloaded;
      error.m_retryAfter = kRetrySoon;
      break;
    default:
      error.m_code = ApiErrorCode::Invalid;
      break;
  }
  return answer;
}

ActionAnswer
ActionExchange::Unknown(std::string aWhy) const
{
  ActionAnswer answer;
  answer.m_error = ApiError{ ApiErrorCode::OutcomeUnknown,
                             "the outcome is not known: " + std::move(aWhy) +
                               "; ask GET /v1/actions/" + m_call.m_key,
                             CallOutcome::Unknown,
                             kRetrySoon };
  return answer;
}

} // namespace parsleycove
