// Accepts connections and spreads them over the workers.
#include "Gateway/Listener.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/GatewayServices.h"
#include "Gateway/HttpSession.h"
#include "Gateway/Worker.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Wait after a failed accept, for example while descriptors are short.
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

} // namespace

Listener::Listener(const GatewayServices& aServices,
                   const RequestRouter& aRouter,
                   const std::vector<std::unique_ptr<Worker>>& aWorkers)
  : m_services(aServices)
  , m_router(aRouter)
  , m_workers(aWorkers)
  , m_acceptor(aWorkers.front()->Context())
{
}

bool
Listener::Open(std::string& aReason)
{
  const SocketAddress& listen = m_services.m_options.m_listen;
  try {
    const Tcp::endpoint local(asio::ip::make_address(listen.m_address),
                              listen.m_port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen();
  } catch (const std::exception& fault) {
    aReason = "cannot listen on " + listen.ToString() + ": " + fault.what();
    return false;
  }
  return true;
}

std::uint16_t
Listener::Port() const
{
  return m_acceptor.local_endpoint().port();
}

asio::awaitable<void>
Listener::Run()
{
  std::size_t next = 0;
  for (;;) {
    Worker& worker = *m_workers[next++ % m_workers.size()];
    auto [error, socket] =
      co_await m_acceptor.async_accept(worker.Context(), kAwait);
    if (error) {
      asio::steady_timer timer(m_acceptor.get_executor(), kAcceptPause);
      co_await timer.async_wait(kAwait);
      continue;
    }
    // Beyond the limit a connection is closed at once; the balancer turns to
    // another VM.
    if (m_connections < m_services.m_options.m_maxConnections) {
      Serve(std::move(socket), worker);
    }
  }
}

void
Listener::Serve(Tcp::socket aSocket, Worker& aWorker)
{
  beast::error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  ++m_connections;
  const auto finish = [this](const std::exception_ptr&) { --m_connections; };
  asio::co_spawn(
    aWorker.Context(),
    RunHttpSession(std::move(aSocket), m_router, m_services, aWorker),
    finish);
}

} // namespace parsleycove
