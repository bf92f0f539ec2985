// A small HTTP server for readiness, metrics and control calls.
#include "Forwarding/HttpService.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>

#include "Forwarding/AcceptLoop.h"
#include "Forwarding/BoundedRead.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp11 = 11;

// Gives up the connection of a stream.
class StreamHolder final : public ConnectionPlaces::Holder
{
public:
  explicit StreamHolder(beast::tcp_stream& aStream)
    : m_stream(aStream)
  {
  }

  bool HasInput() const override
  {
    beast::error_code ignored;
    return m_stream.socket().available(ignored) != 0;
  }
  void OnGivenUp() override { m_stream.close(); }

private:
  beast::tcp_stream& m_stream;
};

} // namespace

HttpResponse
MakeTextAnswer(http::status aStatus, std::string aText, std::string_view aType)
{
  HttpResponse answer(aStatus, kHttp11);
  answer.set(http::field::content_type, aType);
  answer.body() = std::move(aText);
  return answer;
}

struct HttpService::Parts : std::enable_shared_from_this<Parts>
{
  Parts(asio::io_context& aContext,
        HttpHandler aHandler,
        HttpServiceLimits aLimits,
        UnreadRequests* aUnread,
        ConnectionPlaces::LossObserver aOnLoss)
    : m_context(aContext)
    , m_handler(std::move(aHandler))
    , m_limits(aLimits)
    , m_unread(aUnread)
    , m_budget(std::make_shared<ReceiveBudget>(aLimits.m_receiveBudgetBytes))
    , m_accept(aContext,
               std::make_shared<ConnectionPlaces>(
                 LimitByDescriptors(aLimits.m_maxConnections, MaxDescriptors()),
                 std::move(aOnLoss)))
  {
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket, AcceptLoop::PlacePtr aPlace)
  {
    beast::tcp_stream stream(std::move(aSocket));
    StreamHolder holder(stream);
    aPlace->SetHolder(holder);
    aPlace->SetReading(BootClock::now());
    beast::flat_buffer buffer;
    ReadResult unread = ReadResult::Closed;
    bool keepsAlive = true;
    while (keepsAlive) {
      RequestParser parser;
      parser.body_limit(m_limits.m_maxBodyBytes);
      BoundedRead::LimitBuffer(buffer, m_limits.m_maxHeaderBytes);
      stream.expires_after(m_limits.m_idleTimeout);
      const beast::error_code error =
        co_await Read(stream, buffer, parser, *aPlace, unread);
      if (!aPlace->SetServed()) {
        unread = ReadResult::Closed;
        break;
      }
      if (error) {
        break;
      }
      const HttpRequest request = parser.release();
      const ReceiveBudget::Served served(m_budget, request.body().capacity());
      HttpResponse answer = co_await Handle(request);
      answer.version(kHttp11);
      answer.keep_alive(request.keep_alive());
      answer.prepare_payload();
      const auto [writeError, written] =
        co_await http::async_write(stream, answer, kAwait);
      keepsAlive = !writeError && request.keep_alive();
      if (buffer.size() == 0) {
        aPlace->SetIdle(BootClock::now());
      } else {
        aPlace->SetReading(BootClock::now());
      }
    }
    aPlace->SetServed();
    buffer.clear();
    buffer.shrink_to_fit();
    if (unread != ReadResult::Closed) {
      co_await AnswerUnread(stream, unread);
    }
    beast::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    if (unread != ReadResult::Closed) {
      aPlace->SetReading(BootClock::now());
      stream.expires_after(kDropTimeout);
      co_await DropInput(stream);
    }
  }

  // Sets aUnread if the request must be answered without having been read.
  asio::awaitable<beast::error_code> Read(beast::tcp_stream& aStream,
                                          beast::flat_buffer& aBuffer,
                                          RequestParser& aParser,
                                          ConnectionPlaces::Place& aPlace,
                                          ReadResult& aUnread)
  {
    BoundedRead read(
      m_budget, [&aStream] { aStream.cancel(); }, &aPlace);
    beast::error_code error =
      co_await read.ReadHeader(aStream, aBuffer, aParser);
    if (!error) {
      error = co_await read.ReadBody(aStream, aBuffer, aParser);
    }
    if (error) {
      aUnread = read.Classify(error);
    }
    co_return error;
  }

  asio::awaitable<void> AnswerUnread(beast::tcp_stream& aStream,
                                     ReadResult aUnread)
  {
    if (m_unread != nullptr) {
      m_unread->Count(aUnread, BootClock::now());
    }
    HttpResponse answer =
      MakeTextAnswer(StatusOf(aUnread), "the request cannot be read\n");
    if (aUnread == ReadResult::Refused) {
      answer.set(http::field::retry_after, "1");
    }
    answer.keep_alive(false);
    answer.prepare_payload();
    aStream.expires_after(m_limits.m_idleTimeout);
    co_await http::async_write(aStream, answer, kAwait);
  }

  static http::status StatusOf(ReadResult aUnread)
  {
    switch (aUnread) {
      case ReadResult::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
      case ReadResult::BodyTooLarge:
        return http::status::payload_too_large;
      case ReadResult::Refused:
        return http::status::service_unavailable;
      default:
        return http::status::bad_request;
    }
  }

  asio::awaitable<HttpResponse> Handle(const HttpRequest& aRequest)
  {
    try {
      co_return co_await m_handler(aRequest);
    } catch (const std::exception& fault) {
      Log(LogLevel::Error,
          "handler failed",
          { { "path", std::string(aRequest.target()) },
            { "fault", fault.what() } });
    }
    co_return MakeTextAnswer(http::status::internal_server_error,
                             "internal error");
  }

  asio::io_context& m_context;
  const HttpHandler m_handler;
  const HttpServiceLimits m_limits;
  UnreadRequests* const m_unread;
  const std::shared_ptr<ReceiveBudget> m_budget;
  AcceptLoop m_accept;
};

HttpService::HttpService(asio::io_context& aContext,
                         HttpHandler aHandler,
                         HttpServiceLimits aLimits,
                         UnreadRequests* aUnread,
                         ConnectionPlaces::LossObserver aOnLoss)
  : m_parts(std::make_shared<Parts>(aContext,
                                    std::move(aHandler),
                                    aLimits,
                                    aUnread,
                                    std::move(aOnLoss)))
{
}

HttpService::~HttpService()
{
  Close();
}

bool
HttpService::Open(const SocketAddress& aListen, std::string& aReason)
{
  if (!m_parts->m_accept.Open(aListen, aReason)) {
    return false;
  }
  std::weak_ptr<Parts> weak = m_parts;
  m_parts->m_accept.Start(
    [weak](Tcp::socket aSocket,
           AcceptLoop::PlacePtr aPlace) -> asio::awaitable<void> {
      if (const auto parts = weak.lock()) {
        co_await parts->Serve(std::move(aSocket), std::move(aPlace));
      }
    });
  return true;
}

std::uint16_t
HttpService::Port() const
{
  return m_parts->m_accept.Port();
}

void
HttpService::Close()
{
  m_parts->m_accept.Close();
}

} // namespace parsleycove
