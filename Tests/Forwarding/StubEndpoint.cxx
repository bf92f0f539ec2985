// A test endpoint on the loopback interface that answers every request by a
// script.
#include "Forwarding/StubEndpoint.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kPollInterval{ 2 };

} // namespace

StubStep
Send(std::string aBytes)
{
  return { StubStep::Kind::Send, std::move(aBytes), {}, {} };
}

StubStep
Pause(Duration aPause)
{
  return { StubStep::Kind::Pause, {}, aPause, {} };
}

StubStep
Await(std::function<bool()> aUntil)
{
  return { StubStep::Kind::Await, {}, {}, std::move(aUntil) };
}

StubStep
CloseNow()
{
  return { StubStep::Kind::Close, {}, {}, {} };
}

StubStep
EndNow()
{
  return { StubStep::Kind::End, {}, {}, {} };
}

StubStep
ResetNow()
{
  return { StubStep::Kind::Reset, {}, {}, {} };
}

StubStep
Flood(std::string aBytes)
{
  return { StubStep::Kind::Flood, std::move(aBytes), {}, {} };
}

StubStep
Hang()
{
  return { StubStep::Kind::Hang, {}, {}, {} };
}

std::string
MakeAnswer(const std::string& aAttemptId,
           unsigned aStatus,
           const std::string& aBody,
           const std::string& aExtraHeaders)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Any\r\nAttempt-Id: " + aAttemptId +
         "\r\nResponse-Signature: s1\r\n" + aExtraHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
MakeStreamHead(const std::string& aAttemptId)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aAttemptId +
         "\r\nResponse-Signature: s1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
MakeEvent(int aId)
{
  const std::string event =
    "id: " + std::to_string(aId) + "\ndata: x" + std::to_string(aId) + "\n\n";
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string size;
  for (std::size_t left = event.size(); left != 0; left /= 16) {
    size.insert(size.begin(), kHex[left % 16]);
  }
  return size + "\r\n" + event + "\r\n";
}

std::string
MakeStreamEnd()
{
  return "0\r\n\r\n";
}

struct StubEndpoint::Parts : std::enable_shared_from_this<Parts>
{
  explicit Parts(asio::io_context& aContext)
    : m_context(aContext)
    , m_acceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
  {
  }

  asio::awaitable<void> Accept()
  {
    const auto self = shared_from_this();
    for (;;) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
      if (error) {
        co_return;
      }
      ++m_connections;
      auto shared = std::make_shared<Tcp::socket>(std::move(socket));
      m_sockets.push_back(shared);
      asio::co_spawn(m_context, Serve(shared), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<Tcp::socket> aSocket)
  {
    const auto self = shared_from_this();
    beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      const auto [headError, headBytes] =
        co_await http::async_read_header(*aSocket, buffer, parser, kAwait);
      if (headError) {
        co_return;
      }
      if (!m_answersBeforeBody &&
          !co_await ReadRest(*aSocket, buffer, parser)) {
        co_return;
      }
      m_requests.push_back(parser.get());
      const std::vector<StubStep> steps = m_script(m_requests.back());
      for (const StubStep& step : steps) {
        if (!co_await Perform(*aSocket, step)) {
          co_return;
        }
      }
      if (!co_await ReadRest(*aSocket, buffer, parser)) {
        co_return;
      }
    }
  }

  static asio::awaitable<bool> ReadRest(
    Tcp::socket& aSocket,
    beast::flat_buffer& aBuffer,
    http::request_parser<http::string_body>& aParser)
  {
    if (aParser.is_done()) {
      co_return true;
    }
    const auto [error, bytes] =
      co_await http::async_read(aSocket, aBuffer, aParser, kAwait);
    co_return !error;
  }

  asio::awaitable<bool> Perform(Tcp::socket& aSocket, const StubStep& aStep)
  {
    asio::steady_timer timer(m_context);
    switch (aStep.m_kind) {
      case StubStep::Kind::Send: {
        const auto [error, bytes] = co_await asio::async_write(
          aSocket, asio::buffer(aStep.m_bytes), kAwait);
        m_abandoned += error ? 1 : 0;
        co_return !error;
      }
      case StubStep::Kind::Pause:
        timer.expires_after(aStep.m_pause);
        co_await timer.async_wait(kAwait);
        co_return true;
      case StubStep::Kind::Await:
        while (!aStep.m_until()) {
          timer.expires_after(kPollInterval);
          co_await timer.async_wait(kAwait);
        }
        co_return true;
      case StubStep::Kind::Close:
        aSocket.close();
        co_return false;
      case StubStep::Kind::End: {
        beast::error_code ignored;
        aSocket.shutdown(Tcp::socket::shutdown_send, ignored);
        co_return true;
      }
      case StubStep::Kind::Reset: {
        beast::error_code ignored;
        aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
        aSocket.close(ignored);
        co_return false;
      }
      case StubStep::Kind::Flood: {
        beast::error_code error;
        while (!error && m_floodBytes < m_maxFloodBytes) {
          const auto [failure, bytes] = co_await asio::async_write(
            aSocket, asio::buffer(aStep.m_bytes), kAwait);
          error = failure;
          m_floodBytes += bytes;
        }
        if (error) {
          ++m_abandoned;
          co_return false;
        }
        co_return co_await WaitForEnd(aSocket);
      }
      case StubStep::Kind::Hang:
        co_return co_await WaitForEnd(aSocket);
    }
    co_return false;
  }

  asio::awaitable<bool> WaitForEnd(Tcp::socket& aSocket)
  {
    char byte = 0;
    const auto [error, bytes] =
      co_await aSocket.async_read_some(asio::buffer(&byte, 1), kAwait);
    m_abandoned += error ? 1 : 0;
    co_return false;
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Script m_script;
  std::vector<HttpRequest> m_requests;
  std::vector<std::weak_ptr<Tcp::socket>> m_sockets;
  std::size_t m_floodBytes = 0;
  std::size_t m_maxFloodBytes = kMaxFloodBytes;
  int m_abandoned = 0;
  int m_connections = 0;
  bool m_answersBeforeBody = false;
};

StubEndpoint::StubEndpoint(asio::io_context& aContext)
  : m_parts(std::make_shared<Parts>(aContext))
{
  asio::co_spawn(aContext, m_parts->Accept(), asio::detached);
}

StubEndpoint::~StubEndpoint()
{
  Stop();
}

std::uint16_t
StubEndpoint::Port() const
{
  return m_parts->m_acceptor.local_endpoint().port();
}

void
StubEndpoint::SetScript(Script aScript)
{
  m_parts->m_script = std::move(aScript);
}

void
StubEndpoint::AnswerBeforeBody()
{
  constexpr int kReceiveBytes = 4096;
  m_parts->m_answersBeforeBody = true;
  m_parts->m_acceptor.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBytes));
}

void
StubEndpoint::Stop()
{
  beast::error_code ignored;
  m_parts->m_acceptor.close(ignored);
  for (const auto& weak : m_parts->m_sockets) {
    if (const auto socket = weak.lock()) {
      socket->close(ignored);
    }
  }
}

const std::vector<HttpRequest>&
StubEndpoint::Requests() const
{
  return m_parts->m_requests;
}

int
StubEndpoint::Abandoned() const
{
  return m_parts->m_abandoned;
}

int
StubEndpoint::Connections() const
{
  return m_parts->m_connections;
}

std::size_t
StubEndpoint::FloodBytes() const
{
  return m_parts->m_floodBytes;
}

void
StubEndpoint::SetMaxFloodBytes(std::size_t aBytes)
{
  m_parts->m_maxFloodBytes = aBytes;
}

} // namespace parsleycove
