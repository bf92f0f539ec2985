// A caller's connection: whole requests in, answers out.
#include "Forwarding/CallerConnection.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
using Parser = http::request_parser<http::string_body>;

} // namespace

CallerConnection::CallerConnection(Tcp::socket aSocket)
  : m_socket(std::move(aSocket))
{
  beast::error_code ignored;
  m_socket.set_option(Tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
}

asio::awaitable<ReadResult>
CallerConnection::ReadRequest(const CallerLimits& aLimits)
{
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(aLimits.m_maxHeaderBytes));
  parser.body_limit(aLimits.m_maxBodyBytes);
  m_isReading = m_buffer.size() != 0;
  m_isIdle = !m_isReading;
  if (m_isIdle) {
    SetDeadline(BootClock::now() + aLimits.m_idleTimeout);
    const auto [waitError] =
      co_await m_socket.async_wait(Tcp::socket::wait_read, kAwait);
    if (waitError || m_isOverdue) {
      co_return ReadResult::Closed;
    }
    m_isIdle = false;
    m_isReading = true;
  }
  SetDeadline(BootClock::now() + aLimits.m_headerTimeout);
  const auto [headerError, headerBytes] =
    co_await http::async_read_header(m_socket, m_buffer, parser, kAwait);
  if (headerError) {
    co_return ClassifyReadError(headerError);
  }
  // The body has as long as an idle connection.
  SetDeadline(BootClock::now() + aLimits.m_idleTimeout);
  if (!parser.is_done()) {
    const auto [bodyError, bodyBytes] =
      co_await http::async_read(m_socket, m_buffer, parser, kAwait);
    if (bodyError) {
      co_return ClassifyReadError(bodyError);
    }
  }
  ClearDeadline();
  m_isReading = false;
  m_request = parser.release();
  m_closesAfterAnswer = m_closesAfterAnswer || !m_request.keep_alive();
  co_return ReadResult::Request;
}

ReadResult
CallerConnection::ClassifyReadError(const beast::error_code& aError) const
{
  if (m_isOverdue) {
    return ReadResult::TimedOut;
  }
  if (aError == http::error::body_limit) {
    return ReadResult::BodyTooLarge;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return ReadResult::HeaderTooLarge;
  }
  static const beast::error_code kAnyHttpError =
    make_error_code(http::error::bad_method);
  const bool isEnd = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message;
  return !isEnd && aError.category() == kAnyHttpError.category()
           ? ReadResult::Malformed
           : ReadResult::Closed;
}

asio::awaitable<bool>
CallerConnection::Write(std::string aBytes, Duration aTimeout)
{
  if (m_isDisconnected) {
    co_return false;
  }
  SetDeadline(BootClock::now() + aTimeout);
  const auto [error, bytes] =
    co_await asio::async_write(m_socket, asio::buffer(aBytes), kAwait);
  ClearDeadline();
  if (error) {
    m_isDisconnected = true;
  }
  co_return !error;
}

void
CallerConnection::WatchForDisconnect(std::function<void()> aOnDisconnect)
{
  m_onDisconnect = std::move(aOnDisconnect);
  ++m_watchGeneration;
  if (m_buffer.size() == 0) {
    ArmDisconnectWatch();
  }
}

void
CallerConnection::ArmDisconnectWatch()
{
  m_socket.async_wait(
    Tcp::socket::wait_read,
    [self = shared_from_this(),
     generation = m_watchGeneration](const beast::error_code& aError) {
      if (aError || generation != self->m_watchGeneration ||
          !self->m_onDisconnect) {
        return;
      }
      beast::error_code error;
      char byte = 0;
      const std::size_t bytes = self->m_socket.receive(
        asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
      // The next request may come early; its bytes stay where they are.
      if (bytes != 0) {
        return;
      }
      if (error == asio::error::would_block) {
        self->ArmDisconnectWatch();
        return;
      }
      self->m_isDisconnected = true;
      std::exchange(self->m_onDisconnect, nullptr)();
    });
}

void
CallerConnection::StopWatching()
{
  m_onDisconnect = nullptr;
  ++m_watchGeneration;
  beast::error_code ignored;
  m_socket.cancel(ignored);
}

void
CallerConnection::Close()
{
  beast::error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
}

void
CallerConnection::CloseIfIdle()
{
  if (m_isIdle) {
    beast::error_code ignored;
    m_socket.close(ignored);
  }
}

void
CallerConnection::OnDeadline(TimePoint /*aNow*/)
{
  m_isOverdue = true;
  ClearDeadline();
  beast::error_code ignored;
  m_socket.cancel(ignored);
}

} // namespace parsleycove
