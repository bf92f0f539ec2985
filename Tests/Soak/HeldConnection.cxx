// A caller's connection that stays open until the other side closes it.
#include "Soak/HeldConnection.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

HeldConnection::HeldConnection(asio::any_io_executor aExecutor)
  : m_stream(std::move(aExecutor))
{
}

asio::awaitable<bool>
HeldConnection::Connect(SocketAddress aTo)
{
  m_stream.close();
  m_buffer.clear();
  m_stream.expires_never();
  const auto [error] = co_await m_stream.async_connect(
    Tcp::endpoint(asio::ip::make_address(aTo.m_address), aTo.m_port), kAwait);
  co_return !error;
}

asio::awaitable<CallResult>
HeldConnection::Call(HttpRequest aRequest, Duration aTimeout)
{
  CallResult result;
  m_stream.expires_after(aTimeout);
  const auto [sendError, sent] =
    co_await http::async_write(m_stream, aRequest, kAwait);
  http::response_parser<http::string_body> parser;
  beast::error_code error = sendError;
  if (!error) {
    const auto [readError, received] =
      co_await http::async_read(m_stream, m_buffer, parser, kAwait);
    error = readError;
  }
  m_stream.expires_never();
  if (!error) {
    result.m_response = parser.release();
    co_return result;
  }
  result.m_hasTimedOut = error == beast::error::timeout;
  result.m_reason.Set(result.m_hasTimedOut ? CallError::NoAnswer
                                           : CallError::Broken,
                      "held connection: " + error.message());
  m_stream.close();
  co_return result;
}

asio::awaitable<void>
HeldConnection::AwaitEnd()
{
  char byte = 0;
  co_await m_stream.async_read_some(asio::buffer(&byte, 1), kAwait);
  m_stream.close();
}

} // namespace parsleycove
