// Accepts connections on one address and runs a coroutine for each.
#include "Forwarding/AcceptLoop.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Telemetry/LoggedSpawn.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Delay after a failed accept, for example while no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 20 };
constexpr int kBacklog = 1024;

} // namespace

struct AcceptLoop::Parts
{
  Parts(asio::io_context& aContext, std::shared_ptr<ConnectionPlaces> aPlaces)
    : m_context(aContext)
    , m_acceptor(aContext)
    , m_places(std::move(aPlaces))
  {
  }

  asio::awaitable<void> Run()
  {
    while (m_acceptor.is_open()) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
      if (error) {
        LogAcceptFailure(error);
        if (error == asio::error::no_descriptors && MakeRoom()) {
          continue;
        }
        asio::steady_timer timer(m_context, kAcceptRetryDelay);
        co_await timer.async_wait(kAwait);
        continue;
      }
      m_isFailing = false;
      if (auto place = m_places->Take(BootClock::now())) {
        SpawnLogged(m_context,
                    "a caller's connection",
                    m_handler(std::move(socket), std::move(place)));
      }
    }
  }

  // Frees a descriptor. Returns false if no connection can be given up.
  bool MakeRoom()
  {
    const TimePoint now = BootClock::now();
    const bool isFreed = m_places->GiveUpOne(now);
    if (!isFreed) {
      m_places->CountTurnedAway(now);
    }
    return isFreed;
  }

  // Logs only the first of several failures in a row.
  void LogAcceptFailure(const beast::error_code& aError)
  {
    if (!std::exchange(m_isFailing, true) && m_acceptor.is_open()) {
      Log(LogLevel::Warning,
          "cannot accept connections",
          { { "why", aError.message() } });
    }
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  const std::shared_ptr<ConnectionPlaces> m_places;
  bool m_isFailing = false;
  ConnectionHandler m_handler;
};

AcceptLoop::AcceptLoop(asio::io_context& aContext,
                       std::shared_ptr<ConnectionPlaces> aPlaces)
  : m_parts(std::make_shared<Parts>(aContext, std::move(aPlaces)))
{
}

AcceptLoop::~AcceptLoop()
{
  Close();
}

bool
AcceptLoop::Open(const SocketAddress& aListen, std::string& aReason)
{
  Tcp::acceptor& acceptor = m_parts->m_acceptor;
  try {
    const Tcp::endpoint local(asio::ip::make_address(aListen.m_address),
                              aListen.m_port);
    acceptor.open(local.protocol());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen(kBacklog);
  } catch (const std::exception& fault) {
    aReason = "cannot listen on " + aListen.ToString() + ": " + fault.what();
    return false;
  }
  return true;
}

void
AcceptLoop::Start(ConnectionHandler aHandler)
{
  m_parts->m_handler = std::move(aHandler);
  // The last argument keeps the parts until the loop has ended.
  SpawnLogged(m_parts->m_context,
              "accepting connections",
              m_parts->Run(),
              [parts = m_parts] {});
}

void
AcceptLoop::Close()
{
  beast::error_code ignored;
  m_parts->m_acceptor.close(ignored);
}

std::uint16_t
AcceptLoop::Port() const
{
  return m_parts->m_acceptor.local_endpoint().port();
}

} // namespace parsleycove
