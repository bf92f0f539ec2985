// A caller's connection: reads complete requests and writes answers.
#include "Forwarding/CallerConnection.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Forwarding/BoundedRead.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// A connection without a request keeps no larger buffer than this.
constexpr std::size_t kMaxIdleBufferBytes = 4096;

} // namespace

CallerConnection::CallerConnection(
  Tcp::socket aSocket,
  std::unique_ptr<ConnectionPlaces::Place> aPlace,
  std::shared_ptr<ReceiveBudget> aBudget)
  : m_socket(std::move(aSocket))
  , m_place(std::move(aPlace))
  , m_budget(std::move(aBudget))
{
  beast::error_code ignored;
  m_socket.set_option(Tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  m_place->SetHolder(*this);
}

asio::awaitable<ReadResult>
CallerConnection::ReadRequest(const CallerLimits& aLimits)
{
  // A connection that is idle holds no body.
  m_request = {};
  m_served.reset();
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(aLimits.m_maxHeaderBytes));
  parser.body_limit(aLimits.m_maxBodyBytes);
  BoundedRead::LimitBuffer(m_buffer, aLimits.m_maxHeaderBytes);
  m_isReading = m_buffer.size() != 0;
  m_isIdle = !m_isReading;
  if (m_isIdle && m_hasServed) {
    m_place->SetIdle(BootClock::now());
  } else {
    m_place->SetReading(BootClock::now());
  }
  if (m_isIdle) {
    if (m_buffer.capacity() > kMaxIdleBufferBytes) {
      m_buffer.shrink_to_fit();
    }
    SetDeadline(BootClock::now() + aLimits.m_idleTimeout);
    const auto [waitError] =
      co_await m_socket.async_wait(Tcp::socket::wait_read, kAwait);
    if (waitError || m_isOverdue) {
      co_return ReadResult::Closed;
    }
    m_isIdle = false;
    m_isReading = true;
    m_place->SetReading(BootClock::now());
  }
  BoundedRead read(
    m_budget,
    [this] {
      beast::error_code ignored;
      m_socket.cancel(ignored);
    },
    m_place.get());
  SetDeadline(BootClock::now() + aLimits.m_headerTimeout);
  beast::error_code error =
    co_await read.ReadHeader(m_socket, m_buffer, parser);
  if (!error) {
    // The time-out of idle connections also limits the time for the body.
    SetDeadline(BootClock::now() + aLimits.m_idleTimeout);
    error = co_await read.ReadBody(m_socket, m_buffer, parser);
  }
  const bool isGivenUp = !m_place->SetServed();
  if (error || isGivenUp) {
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    if (isGivenUp) {
      co_return ReadResult::Closed;
    }
    co_return m_isOverdue ? ReadResult::TimedOut : read.Classify(error);
  }
  ClearDeadline();
  m_isReading = false;
  m_hasServed = true;
  m_request = parser.release();
  m_served.emplace(m_budget, m_request.body().capacity());
  m_closesAfterAnswer = m_closesAfterAnswer || !m_request.keep_alive();
  co_return ReadResult::Request;
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
      // The caller may send its next request early; the bytes of that request
      // stay in the socket.
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
  m_place->Leave();
}

asio::awaitable<void>
CallerConnection::CloseUnread()
{
  beast::error_code ignored;
  m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
  m_place->SetReading(BootClock::now());
  SetDeadline(BootClock::now() + kDropTimeout);
  co_await DropInput(m_socket);
  ClearDeadline();
  Close();
}

void
CallerConnection::CloseIfIdle()
{
  if (m_isIdle) {
    beast::error_code ignored;
    m_socket.close(ignored);
  }
}

bool
CallerConnection::HasInput() const
{
  beast::error_code ignored;
  return m_socket.available(ignored) != 0;
}

void
CallerConnection::OnGivenUp()
{
  // The read in progress ends as if the caller had closed the connection.
  beast::error_code ignored;
  m_socket.close(ignored);
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
