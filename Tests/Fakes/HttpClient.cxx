// One HTTP call on a connection of its own.
#include "Fakes/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace parsleycove::fakes {

namespace asio = boost::asio;
namespace http = boost::beast::http;

Awaitable<std::optional<HttpResponse>>
PostJson(SocketAddress aServer,
         std::string aTarget,
         std::string aBody,
         std::chrono::milliseconds aTimeout)
{
  constexpr auto use = asio::as_tuple(asio::use_awaitable);
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aTimeout);
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(aServer.m_address), aServer.m_port);
  if (const auto [error] = co_await stream.async_connect(endpoint, use);
      error) {
    co_return std::nullopt;
  }
  HttpRequest request(http::verb::post, aTarget, 11);
  request.set(http::field::host, aServer.ToString());
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = std::move(aBody);
  request.prepare_payload();
  if (const auto [error, size] =
        co_await http::async_write(stream, request, use);
      error) {
    co_return std::nullopt;
  }
  boost::beast::flat_buffer buffer;
  HttpResponse response;
  if (const auto [error, size] =
        co_await http::async_read(stream, buffer, response, use);
      error) {
    co_return std::nullopt;
  }
  co_return response;
}

} // namespace parsleycove::fakes
