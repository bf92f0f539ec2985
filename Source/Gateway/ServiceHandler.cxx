// Calls of plain services: /v1/services/{service}/{path}.
#include "Gateway/ServiceHandler.h"

#include <algorithm>
#include <utility>

#include "Base/Digest.h"
#include "Base/DrainState.h"
#include "Gateway/ActionExchange.h"
#include "Gateway/CallerGate.h"
#include "Gateway/IdempotentCall.h"
#include "Gateway/RequestContext.h"
#include "Gateway/RequestTrace.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"

namespace parsleycove {

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxKeyLength = 128;

bool
IsValidKey(std::string_view aKey)
{
  const bool fits = !aKey.empty() && aKey.size() <= kMaxKeyLength;
  return fits && std::all_of(aKey.begin(), aKey.end(), [](char aSign) {
           return aSign > ' ' && aSign < '\x7f' && aSign != '/';
         });
}

bool
IsIdempotent(const state::ServiceT& aService,
             http::verb aVerb,
             std::string_view aPath)
{
  if (aVerb == http::verb::get || aVerb == http::verb::head) {
    return true;
  }
  return std::any_of(
    aService.idempotent_prefixes.begin(),
    aService.idempotent_prefixes.end(),
    [aPath](const std::string& aPrefix) { return aPath.starts_with(aPrefix); });
}

} // namespace

// The service that a path names, and the rest of the path.
struct ServiceHandler::Target
{
  const state::ServiceT* m_service = nullptr;
  std::string m_path; // begins with a slash
  std::string m_pathWithQuery;
};

asio::awaitable<void>
ServiceHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  const ActiveRequest active(m_services.m_drain);
  ApiError refusal;
  const auto caller = AdmitCaller(m_services, aContext, refusal);
  if (!caller) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  const std::string_view rest = aContext.m_path.substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const std::string_view name = rest.substr(0, slash);
  Target target;
  target.m_service = caller->m_view->FindService(name);
  if (!target.m_service) {
    refusal = { ApiErrorCode::NotFound,
                "there is no service \"" + std::string(name) + "\"" };
    co_await aResponder.SendError(refusal);
    co_return;
  }
  target.m_path =
    slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  target.m_pathWithQuery = target.m_path;
  if (!aContext.m_query.empty()) {
    target.m_pathWithQuery += "?" + std::string(aContext.m_query);
  }
  const http::verb verb = aContext.m_request.method();
  if (IsIdempotent(*target.m_service, verb, target.m_path)) {
    co_await RunIdempotent(aContext, aResponder, *caller, target);
  } else {
    co_await RunAction(aContext, aResponder, *caller, target);
  }
}

asio::awaitable<void>
ServiceHandler::RunAction(const RequestContext& aContext,
                          Responder& aResponder,
                          const Caller& aCaller,
                          const Target& aTarget)
{
  const std::string_view key = aContext.Header("Idempotency-Key");
  if (!IsValidKey(key)) {
    const ApiError error{
      ApiErrorCode::IdempotencyKeyRequired,
      "Idempotency-Key: expected 1 to 128 printable characters without a "
      "slash, since this call may not be repeated",
      CallOutcome::NotRun
    };
    co_await aResponder.SendError(error);
    co_return;
  }
  const HttpRequest& request = aContext.m_request;
  ActionCall call;
  call.m_account = aCaller.m_account->name;
  call.m_key = std::string(key);
  call.m_service = aTarget.m_service->name;
  call.m_serviceReportsNotRun = aTarget.m_service->reports_not_run;
  call.m_method = std::string(request.method_string());
  call.m_path = aTarget.m_pathWithQuery;
  call.m_contentType = std::string(aContext.Header("Content-Type"));
  call.m_body = request.body();
  call.m_fingerprint = Sha256Hex(call.m_method + "\n" + call.m_service + "\n" +
                                 call.m_path + "\n" + call.m_body);
  const OpenSpan span = aContext.m_trace.StartSpan("action");
  call.m_traceParent = span.m_context.ToHeader();
  call.m_deadline = aCaller.m_deadline;
  auto exchange = std::make_shared<ActionExchange>(
    m_services, aContext.m_worker, std::move(call));
  const ActionAnswer answer = co_await exchange->RunAndWait();
  aContext.m_trace.EndSpan(span, answer.m_error.has_value());
  if (answer.m_isReplayed) {
    aResponder.AddHeader("Idempotency-Replayed", "true");
  }
  if (answer.m_stored) {
    const state::StoredAnswerT& stored = *answer.m_stored;
    co_await aResponder.Send(stored.status, stored.content_type, stored.body);
    co_return;
  }
  aResponder.AddHeader("Location", "/v1/actions/" + std::string(key));
  co_await aResponder.SendError(*answer.m_error);
}

asio::awaitable<void>
ServiceHandler::RunIdempotent(const RequestContext& aContext,
                              Responder& aResponder,
                              const Caller& aCaller,
                              const Target& aTarget)
{
  IdempotentCall call(m_services, aContext, aCaller, aTarget.m_service->name);
  const IdempotentAnswer answer = co_await call.Run(aTarget.m_pathWithQuery);
  if (answer.m_error) {
    co_await aResponder.SendError(*answer.m_error);
    co_return;
  }
  const HttpResponse& response = *answer.m_response;
  co_await aResponder.Send(response.result_int(),
                           std::string(response[http::field::content_type]),
                           response.body());
}

} // namespace parsleycove
