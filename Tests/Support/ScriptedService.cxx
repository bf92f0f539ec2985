// A plain service in the test's own process, which misbehaves as told.
#include "Support/ScriptedService.h"

#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace parsleycove {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttp11 = 11;

} // namespace

class ScriptedService::Impl
{
public:
  explicit Impl(ScriptedService& aOwner)
    : m_owner(aOwner)
    , m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
  {
    asio::co_spawn(m_context, Accept(), asio::detached);
  }

  asio::io_context& Context() { return m_context; }
  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
      if (error) {
        co_return;
      }
      asio::co_spawn(m_context, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket)
  {
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    const auto [error, bytes] =
      co_await http::async_read(aSocket, buffer, request, kAwait);
    const ServiceBehaviour behaviour = m_owner.m_behaviour;
    if (error || behaviour == ServiceBehaviour::ClosesUnrun) {
      co_return;
    }
    if (behaviour == ServiceBehaviour::SaysNotRun) {
      co_await Answer(
        aSocket, http::status::conflict, R"({"outcome":"not_run"})");
      co_return;
    }
    const int run = ++m_owner.m_runs;
    if (behaviour == ServiceBehaviour::StaysSilent) {
      m_silent.push_back(std::move(aSocket));
    } else if (behaviour == ServiceBehaviour::Answers) {
      std::string body = "{\"run\":" + std::to_string(run) + "}";
      co_await Answer(aSocket, http::status::ok, std::move(body));
    }
  }

  static asio::awaitable<void> Answer(asio::ip::tcp::socket& aSocket,
                                      http::status aStatus,
                                      std::string aBody)
  {
    http::response<http::string_body> response(aStatus, kHttp11);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(false);
    response.body() = std::move(aBody);
    response.prepare_payload();
    co_await http::async_write(aSocket, response, kAwait);
  }

  ScriptedService& m_owner;
  asio::io_context m_context{ 1 };
  asio::ip::tcp::acceptor m_acceptor;
  std::vector<asio::ip::tcp::socket> m_silent;
};

ScriptedService::ScriptedService()
  : m_impl(std::make_unique<Impl>(*this))
  , m_thread([this] { m_impl->Context().run(); })
{
}

ScriptedService::~ScriptedService()
{
  Stop();
}

std::uint16_t
ScriptedService::Port() const
{
  return m_impl->Port();
}

void
ScriptedService::Stop()
{
  if (m_thread.joinable()) {
    m_impl->Context().stop();
    m_thread.join();
    m_impl.reset();
  }
}

} // namespace parsleycove
