// HTTP/1.1 server of the stand-ins, with the faults of connections built in.
#include "Fakes/HttpServer.h"

#include <chrono>
#include <exception>
#include <limits>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

namespace parsleycove::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr auto kFrozenCheckInterval = std::chrono::milliseconds(5);
constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20;

Awaitable<void>
Pause(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kUse);
}

bool
IsControl(const HttpRequest& aRequest)
{
  return aRequest.target().starts_with("/fake/");
}

} // namespace

HttpServer::HttpServer(asio::io_context& aContext, HttpHandler& aHandler)
  : m_context(aContext)
  , m_handler(aHandler)
  , m_acceptor(aContext)
{
}

void
HttpServer::Listen(const SocketAddress& aAddress)
{
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(aAddress.m_address), aAddress.m_port);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen();
  asio::co_spawn(m_context, Accept(), asio::detached);
}

SocketAddress
HttpServer::LocalAddress() const
{
  const auto endpoint = m_acceptor.local_endpoint();
  return { endpoint.address().to_string(), endpoint.port() };
}

Awaitable<void>
HttpServer::Accept()
{
  for (;;) {
    auto [error, socket] = co_await m_acceptor.async_accept(kUse);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      socket.set_option(asio::ip::tcp::no_delay(true));
      asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
    }
  }
}

Awaitable<void>
HttpServer::Serve(Socket aSocket)
{
  const std::uint64_t number = m_faults.NextConnection();
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const auto [readError, readSize] =
      co_await http::async_read(aSocket, buffer, parser, kUse);
    if (readError) {
      co_return;
    }
    if (number < m_faults.FirstLiveConnection()) {
      continue; // silent: takes all, answers nothing
    }
    HttpResponse response;
    if (!co_await Answer(parser.get(), response)) {
      co_return;
    }
    const bool silent = number < m_faults.FirstLiveConnection();
    if (silent && !IsControl(parser.get())) {
      continue;
    }
    response.version(parser.get().version());
    response.keep_alive(parser.get().keep_alive());
    response.prepare_payload();
    const auto [writeError, writeSize] =
      co_await http::async_write(aSocket, response, kUse);
    if (writeError || !response.keep_alive()) {
      co_return;
    }
  }
}

Awaitable<bool>
HttpServer::Answer(const HttpRequest& aRequest, HttpResponse& aResponse)
{
  if (IsControl(aRequest)) {
    aResponse = AnswerControl(aRequest);
    co_return true;
  }
  const Fate fate =
    m_handler.IsWork(aRequest) ? m_faults.TakeFate() : Fate::Normal;
  if (fate == Fate::LoseRequest) {
    co_return false;
  }
  co_await WaitWhileFrozen();
  if (const std::chrono::milliseconds delay(m_faults.DelayMs());
      delay.count() > 0) {
    co_await Pause(delay);
  }
  bool failed = false;
  try {
    aResponse = co_await m_handler.Handle(aRequest, fate);
  } catch (const std::exception&) {
    failed = true;
    aResponse = JsonAnswer(400, R"({"error":"malformed request"})");
  }
  co_await WaitWhileFrozen();
  co_return failed || fate != Fate::LoseAnswer;
}

HttpResponse
HttpServer::AnswerControl(const HttpRequest& aRequest)
{
  const bool posts = aRequest.method() == http::verb::post;
  if (aRequest.target() == "/fake/audit" && !posts) {
    return JsonAnswer(200, m_handler.Audit());
  }
  if (aRequest.target() != "/fake/faults" || !posts) {
    return JsonAnswer(404, R"({"error":"no such path"})");
  }
  try {
    m_faults.Apply(boost::json::parse(aRequest.body()).as_object());
  } catch (const std::exception&) {
    return JsonAnswer(400, R"({"error":"malformed switches"})");
  }
  return JsonAnswer(200, "{}");
}

Awaitable<void>
HttpServer::WaitWhileFrozen()
{
  while (m_faults.Frozen()) {
    co_await Pause(kFrozenCheckInterval);
  }
}

} // namespace parsleycove::fakes
