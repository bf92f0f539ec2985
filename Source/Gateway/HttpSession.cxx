// One connection of a caller, an endpoint or an operator.
#include "Gateway/HttpSession.h"

#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include "Base/DrainState.h"
#include "Gateway/ApiError.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/Handler.h"
#include "Gateway/RequestContext.h"
#include "Gateway/RequestRouter.h"
#include "Gateway/RequestTrace.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"
#include "Telemetry/Logging.h"
#include "Telemetry/MetricRegistry.h"
#include "Wire/StrictParser.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// A caller that takes nothing for this long is given up.
constexpr Duration kWriteTimeout = std::chrono::seconds(20);

using Parser = StrictParser<true, http::string_body>;

// Returns the error that a broken request is answered with, or nothing when
// the connection just ended.
std::optional<ApiError>
DescribeReadError(const beast::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return ApiError{ ApiErrorCode::BodyTooLarge,
                     "the body is larger than --max-body-bytes" };
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return ApiError{ ApiErrorCode::HeaderTooLarge,
                     "the header is larger than --max-header-bytes" };
  }
  const bool isEnd = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message ||
                     aError == beast::error::timeout;
  static const beast::error_code kAnyHttpError =
    make_error_code(http::error::bad_method);
  if (!isEnd && aError.category() == kAnyHttpError.category()) {
    return ApiError{ ApiErrorCode::BadRequest,
                     "malformed HTTP: " + aError.message() };
  }
  return std::nullopt;
}

class HttpSession
{
public:
  HttpSession(Tcp::socket aSocket,
              const RequestRouter& aRouter,
              const GatewayServices& aServices,
              Worker& aWorker)
    : m_stream(std::move(aSocket))
    , m_router(aRouter)
    , m_services(aServices)
    , m_worker(aWorker)
  {
  }

  asio::awaitable<void> Run()
  {
    bool goesOn = true;
    while (goesOn) {
      Parser parser;
      parser.header_limit(m_services.m_options.m_maxHeaderBytes);
      parser.body_limit(m_services.m_options.m_maxBodyBytes);
      m_stream.expires_after(m_services.m_options.m_idleTimeout);
      const auto [error, bytes] =
        co_await http::async_read(m_stream, m_buffer, parser, kAwait);
      if (error) {
        co_await AnswerReadError(error, parser);
        break;
      }
      m_stream.expires_never();
      const HttpRequest request = parser.release();
      goesOn = co_await AnswerRequest(request);
    }
    beast::error_code ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

private:
  asio::awaitable<void> AnswerReadError(beast::error_code aError,
                                        Parser& aParser)
  {
    const std::optional<ApiError> answer = DescribeReadError(aError);
    if (!answer) {
      co_return;
    }
    Responder responder(m_stream, aParser.get(), kWriteTimeout);
    responder.CloseAfterwards();
    co_await responder.SendError(*answer);
  }

  asio::awaitable<bool> AnswerRequest(const HttpRequest& aRequest)
  {
    const std::string_view target = aRequest.target();
    const auto mark = target.find('?');
    const std::string_view path = target.substr(0, mark);
    const std::string_view query = mark == std::string_view::npos
                                     ? std::string_view{}
                                     : target.substr(mark + 1);
    RequestTrace trace(m_services.m_spans, aRequest["traceparent"]);
    const RequestContext context{ aRequest, path,
                                  query,    m_services.m_clock.Now(),
                                  trace,    m_worker };
    Responder responder(m_stream, aRequest, kWriteTimeout);
    responder.AddHeader("traceparent", trace.Root().ToHeader());
    trace.RenameRoot(std::string(aRequest.method_string()) + " " +
                     std::string(path));
    // A VM that drains ends its idle connections, so that callers come back
    // through the balancer.
    const TimePoint now = m_services.m_clock.Now();
    if (m_services.m_drain.Phase(now) != DrainPhase::Serving) {
      responder.CloseAfterwards();
    }
    co_await CallHandler(context, responder);
    Finish(context, responder, trace);
    co_return responder.KeepsAlive();
  }

  asio::awaitable<void> CallHandler(const RequestContext& aContext,
                                    Responder& aResponder)
  {
    const http::verb verb = aContext.m_request.method();
    const auto [handler, otherMethod] = m_router.Find(verb, aContext.m_path);
    if (!handler) {
      const ApiErrorCode code =
        otherMethod ? ApiErrorCode::MethodNotAllowed : ApiErrorCode::NotFound;
      const ApiError error{ code,
                            "no " +
                              std::string(aContext.m_request.method_string()) +
                              " at " + std::string(aContext.m_path) };
      co_await aResponder.SendError(error);
      co_return;
    }
    bool failed = false;
    try {
      co_await handler->Handle(aContext, aResponder);
    } catch (const std::exception& fault) {
      Log(LogLevel::Error,
          "handler failed",
          { { "path", std::string(aContext.m_path) },
            { "fault", fault.what() },
            { "trace_id", aContext.m_trace.Root().m_traceId } });
      failed = true;
    }
    if (failed && !aResponder.HasStarted()) {
      const ApiError error{ ApiErrorCode::Internal, "internal error" };
      co_await aResponder.SendError(error);
    } else if (failed) {
      aResponder.CloseAfterwards();
    }
  }

  void Finish(const RequestContext& aContext,
              const Responder& aResponder,
              RequestTrace& aTrace)
  {
    constexpr unsigned kFirstServerError = 500;
    const std::string status = std::to_string(aResponder.Status());
    aTrace.AddRootAttribute("http.response.status_code", status);
    if (aResponder.Status() >= kFirstServerError) {
      aTrace.FailRoot();
    }
    const Duration spent = m_services.m_clock.Now() - aContext.m_arrival;
    m_worker.CountAnswer(aResponder.Status(), spent);
    const auto spentMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(spent).count();
    Log(LogLevel::Debug,
        "request",
        { { "path", std::string(aContext.m_path) },
          { "status", status },
          { "ms", std::to_string(spentMs) },
          { "trace_id", aTrace.Root().m_traceId } });
  }

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  const RequestRouter& m_router;
  const GatewayServices& m_services;
  Worker& m_worker;
};

} // namespace

asio::awaitable<void>
RunHttpSession(Tcp::socket aSocket,
               const RequestRouter& aRouter,
               const GatewayServices& aServices,
               Worker& aWorker)
{
  HttpSession session(std::move(aSocket), aRouter, aServices, aWorker);
  co_await session.Run();
}

} // namespace parsleycove
