// Calls to gateways over HTTP/1.1, each on a connection of its own.
#include "Ctl/HttpTransport.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "Wire/AnswerParser.h"

namespace parsleycove {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kConnectTimeout(2000);
constexpr std::size_t kMaxAnswerBytes = 8ULL * 1024 * 1024;
// Limit of received bytes that the parser cannot take yet, such as the line of
// a chunk; the parser limits heads and bodies.
constexpr std::size_t kMaxBufferedBytes = 64UL * 1024;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

http::verb
VerbOf(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return http::verb::get;
    case HttpMethod::Post:
      return http::verb::post;
    case HttpMethod::Delete:
      return http::verb::delete_;
  }
  return http::verb::get;
}

// One call; it outlives the coroutine that carries it out.
struct Exchange
{
  asio::ip::tcp::endpoint m_server;
  Request m_request;
  std::chrono::milliseconds m_timeout{ 0 };
  Response m_response;
  TransportReason m_reason;
};

asio::awaitable<void>
CarryOut(Exchange& aExchange)
{
  constexpr auto use = asio::as_tuple(asio::use_awaitable);
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::min(kConnectTimeout, aExchange.m_timeout));
  const auto [connectError] =
    co_await stream.async_connect(aExchange.m_server, use);
  if (connectError) {
    aExchange.m_reason.Set(TransportError::NotSent, connectError.message());
    co_return;
  }
  stream.expires_after(aExchange.m_timeout);
  const auto [writeError, written] =
    co_await http::async_write(stream, aExchange.m_request, use);
  if (writeError) {
    aExchange.m_reason.Set(TransportError::AnswerLost, writeError.message());
    co_return;
  }
  boost::beast::flat_buffer buffer(kMaxBufferedBytes);
  std::optional<StringAnswerParser> parser;
  const auto readError = co_await ReadAnswer(
    stream, buffer, parser, kMaxAnswerBytes, [](std::size_t) { return true; });
  if (readError) {
    aExchange.m_reason.Set(TransportError::AnswerLost, readError.message());
    co_return;
  }
  aExchange.m_response = parser->release();
}

} // namespace

HttpTransport::HttpTransport(std::string aOperatorKey)
  : m_operatorKey(std::move(aOperatorKey))
{
}

std::optional<AdminAnswer>
HttpTransport::Send(const SocketAddress& aServer,
                    const AdminCall& aCall,
                    TransportReason& aReason)
{
  Exchange exchange;
  exchange.m_server = { asio::ip::make_address(aServer.m_address),
                        aServer.m_port };
  exchange.m_timeout = aCall.m_timeout;
  Request& request = exchange.m_request;
  request.method(VerbOf(aCall.m_method));
  request.target(aCall.m_target);
  request.set(http::field::host, aServer.ToString());
  request.set(http::field::authorization, "Bearer " + m_operatorKey);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = aCall.m_body;
  request.prepare_payload();
  asio::io_context context(1);
  asio::co_spawn(context, CarryOut(exchange), asio::detached);
  context.run();
  if (exchange.m_reason.m_code != TransportError::None) {
    aReason = exchange.m_reason;
    return std::nullopt;
  }
  return AdminAnswer{ exchange.m_response.result_int(),
                      std::move(exchange.m_response.body()) };
}

} // namespace parsleycove
