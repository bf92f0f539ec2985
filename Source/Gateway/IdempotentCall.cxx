// One call of a plain service that may be repeated.
#include "Gateway/IdempotentCall.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/CallerGate.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/RequestTrace.h"
#include "Gateway/Worker.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

namespace {

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstServerError = 500;
constexpr std::uint32_t kMaxAttempts = 4;
constexpr Duration kRetryAfter = std::chrono::milliseconds(500);

bool
IsGoodAnswer(const CallResult& aResult)
{
  return aResult.m_response &&
         aResult.m_response->result_int() < kFirstServerError;
}

} // namespace

IdempotentCall::IdempotentCall(const GatewayServices& aServices,
                               const RequestContext& aContext,
                               const Caller& aCaller,
                               std::string aService)
  : m_services(aServices)
  , m_context(aContext)
  , m_caller(aCaller)
  , m_service(std::move(aService))
{
}

asio::awaitable<IdempotentAnswer>
IdempotentCall::Run(std::string aPath)
{
  IdempotentAnswer answer;
  PickRequest pick;
  pick.m_service = m_service;
  pick.m_ownZone = m_services.m_options.m_zone;
  RetryRequest retry;
  retry.m_idempotent = true;
  retry.m_maxAttempts = kMaxAttempts;
  retry.m_deadline = m_caller.m_deadline;
  for (;; ++retry.m_attempts) {
    const auto table = m_services.m_runners.Read();
    const TimePoint now = m_services.m_clock.Now();
    const RunnerPtr target =
      m_context.m_worker.Picker().Pick(now, *table, pick);
    if (!target) {
      answer.m_error =
        ApiError{ ApiErrorCode::NoRunner,
                  m_context.m_worker.Picker().LastReason().m_text,
                  CallOutcome::NotApplicable,
                  kRetryAfter };
      co_return answer;
    }
    CallResult result = co_await TryOnce(target, aPath, retry.m_attempts > 1);
    if (IsGoodAnswer(result)) {
      m_context.m_worker.Retries().RecordSuccess();
      answer.m_response = std::move(result.m_response);
      co_return answer;
    }
    pick.m_excluded.push_back(target->m_id);
    const RetryDecision decision =
      m_context.m_worker.Retries().Decide(m_services.m_clock.Now(), retry);
    if (decision.m_status != RetryStatus::Retry) {
      answer.m_response = std::move(result.m_response);
      if (!answer.m_response) {
        answer.m_error = ApiError{ ApiErrorCode::EndpointFailed,
                                   result.m_reason.m_text,
                                   CallOutcome::NotApplicable,
                                   kRetryAfter };
      }
      co_return answer;
    }
    asio::steady_timer timer(m_context.m_worker.Context(), decision.m_backoff);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

Duration
IdempotentCall::TryTimeout(TimePoint aNow) const
{
  // A third of the target leaves room for another endpoint within it.
  const Duration share =
    std::chrono::milliseconds(m_caller.m_class->first_token_ms) / 3;
  return std::min(std::max<Duration>(share, std::chrono::milliseconds(50)),
                  m_caller.m_deadline - aNow);
}

HttpRequest
IdempotentCall::MakeRequest(const Runner& aTarget,
                            const std::string& aPath,
                            const std::string& aTraceParent) const
{
  const HttpRequest& original = m_context.m_request;
  HttpRequest request(original.method(), aPath, kHttp11);
  request.set(http::field::host, aTarget.m_address.ToString());
  request.set("traceparent", aTraceParent);
  const std::string_view contentType = m_context.Header("Content-Type");
  if (!contentType.empty()) {
    request.set(http::field::content_type,
                beast::string_view(contentType.data(), contentType.size()));
  }
  request.keep_alive(true);
  request.body() = original.body();
  request.prepare_payload();
  return request;
}

asio::awaitable<CallResult>
IdempotentCall::TryOnce(RunnerPtr aTarget, std::string aPath, bool aIsRetry)
{
  const OpenSpan span = m_context.m_trace.StartSpan("service");
  HttpRequest request = MakeRequest(*aTarget, aPath, span.m_context.ToHeader());
  const TimePoint start = m_services.m_clock.Now();
  aTarget->m_load->AddStream();
  aTarget->m_load->StartStep(1);
  CallResult result = co_await m_context.m_worker.Endpoints().Call(
    aTarget->m_address,
    std::move(request),
    TryTimeout(start),
    aIsRetry ? ConnectionChoice::Fresh : ConnectionChoice::Kept);
  const TimePoint end = m_services.m_clock.Now();
  aTarget->m_load->RemoveStream();
  if (IsGoodAnswer(result)) {
    aTarget->m_load->FinishStep(end, 1, end - start, end - start);
  } else {
    aTarget->m_load->AbandonStep(1);
    aTarget->m_load->RecordFailure(end);
  }
  m_context.m_trace.EndSpan(
    span, !IsGoodAnswer(result), { { "endpoint", aTarget->m_id } });
  co_return result;
}

} // namespace parsleycove
