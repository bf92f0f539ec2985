// HTTP client for endpoints with persistent connections.
#include "Forwarding/EndpointClient.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>

#include "Forwarding/HeldAnswer.h"
#include "Wire/AnswerParser.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr std::size_t kMaxAnswerBytes = 8ULL * 1024 * 1024;
// Limit of received bytes that the parser cannot take yet: a header, or the
// size line of a chunk with its extensions, or the trailers.
constexpr std::size_t kMaxBufferedBytes = 64ULL * 1024;
constexpr unsigned kHttp11 = 11;

CallResult
MakeFailure(CallError aCode, std::string aText)
{
  CallResult result;
  result.m_reason.Set(aCode, std::move(aText));
  return result;
}

// An idle connection that has become readable was closed by the endpoint.
bool
IsStillOpen(beast::tcp_stream& aConnection)
{
  Tcp::socket& socket = aConnection.socket();
  beast::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

EndpointClient::EndpointClient(asio::any_io_executor aExecutor,
                               std::size_t aMaxHeldBytes)
  : m_executor(std::move(aExecutor))
  , m_budget(std::make_shared<ReceiveBudget>(aMaxHeldBytes,
                                             ReceiveBudget::kNeverStalled))
{
}

EndpointClient::~EndpointClient() = default;

HttpRequest
EndpointClient::MakeJsonPost(const SocketAddress& aAddress,
                             const std::string& aPath,
                             std::string aBody)
{
  HttpRequest request(http::verb::post, aPath, kHttp11);
  request.set(http::field::host, aAddress.ToString());
  request.set(http::field::content_type, "application/json");
  request.keep_alive(true);
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

EndpointClient::Connection
EndpointClient::TakeIdle(const std::string& aAddress)
{
  const auto found = m_idle.find(aAddress);
  if (found == m_idle.end()) {
    return nullptr;
  }
  std::vector<Connection>& idle = found->second;
  while (!idle.empty()) {
    Connection connection = std::move(idle.back());
    idle.pop_back();
    if (IsStillOpen(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void
EndpointClient::AddIdle(const std::string& aAddress, Connection aConnection)
{
  std::vector<Connection>& idle = m_idle[aAddress];
  if (idle.size() < kMaxIdlePerAddress) {
    aConnection->expires_never();
    idle.push_back(std::move(aConnection));
  }
}

asio::awaitable<EndpointClient::Connection>
EndpointClient::Connect(const SocketAddress& aAddress,
                        Duration aTimeout,
                        CallReason& aReason)
{
  beast::error_code invalid;
  const auto ip = asio::ip::make_address(aAddress.m_address, invalid);
  auto connection = std::make_unique<beast::tcp_stream>(m_executor);
  connection->expires_after(std::min(aTimeout, kConnectTimeout));
  const Tcp::endpoint target(ip, aAddress.m_port);
  const auto [error] = co_await connection->async_connect(target, kAwait);
  if (error || invalid) {
    aReason.Set(CallError::NotConnected,
                "cannot connect to " + aAddress.ToString() + ": " +
                  (invalid ? invalid : error).message());
    co_return nullptr;
  }
  beast::error_code ignored;
  connection->socket().set_option(Tcp::no_delay(true), ignored);
  co_return connection;
}

asio::awaitable<CallResult>
EndpointClient::Call(SocketAddress aAddress,
                     HttpRequest aRequest,
                     Duration aTimeout,
                     ConnectionChoice aChoice)
{
  const TimePoint deadline = BootClock::now() + aTimeout;
  const std::string key = aAddress.ToString();
  Connection connection;
  if (aChoice == ConnectionChoice::Reuse) {
    connection = TakeIdle(key);
  }
  if (!connection) {
    CallReason reason;
    connection = co_await Connect(aAddress, aTimeout, reason);
    if (!connection) {
      CallResult failure = MakeFailure(reason.m_code, reason.m_text);
      failure.m_hasTimedOut = BootClock::now() >= deadline;
      co_return failure;
    }
  }
  co_return co_await Exchange(std::move(connection), key, aRequest, deadline);
}

asio::awaitable<CallResult>
EndpointClient::Exchange(Connection aConnection,
                         const std::string& aAddress,
                         const HttpRequest& aRequest,
                         TimePoint aDeadline)
{
  const Duration left = aDeadline - BootClock::now();
  aConnection->expires_after(std::max<Duration>(left, Duration(1)));
  const auto [sendError, sent] =
    co_await http::async_write(*aConnection, aRequest, kAwait);
  if (sendError) {
    co_return MakeFailure(CallError::Broken,
                          "sending to " + aAddress +
                            " failed: " + sendError.message());
  }
  beast::flat_buffer buffer(kMaxBufferedBytes);
  std::optional<StringAnswerParser> parser;
  HeldAnswer held(m_budget,
                  [connection = aConnection.get()] { connection->cancel(); });
  const auto mayHold = [&held](std::size_t aBytes) {
    return held.Hold(aBytes);
  };
  const beast::error_code readError =
    co_await ReadAnswer(*aConnection, buffer, parser, kMaxAnswerBytes, mayHold);
  if (readError == beast::error::timeout) {
    m_idle.erase(aAddress);
    CallResult failure =
      MakeFailure(CallError::NoAnswer, "no answer from " + aAddress);
    failure.m_hasTimedOut = true;
    co_return failure;
  }
  if (readError) {
    co_return MakeFailure(CallError::Broken,
                          "the connection to " + aAddress +
                            " broke: " + readError.message());
  }
  CallResult result;
  result.m_response = parser->release();
  // Bytes left over would be taken for the next call's answer or lost.
  if (result.m_response->keep_alive() && buffer.size() == 0) {
    AddIdle(aAddress, std::move(aConnection));
  }
  co_return result;
}

} // namespace parsleycove
