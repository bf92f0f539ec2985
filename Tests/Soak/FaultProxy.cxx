// A loopback TCP proxy that harms the connections it carries.
#include "Soak/FaultProxy.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Wire/Http.h"

namespace parsleycove {

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// One relayed connection.
struct Relay
{
  explicit Relay(Tcp::socket aCaller)
    : m_caller(std::move(aCaller))
    , m_target(m_caller.get_executor())
  {
  }

  void Close(bool aIsReset)
  {
    beast::error_code ignored;
    for (Tcp::socket* socket : { &m_caller, &m_target }) {
      if (aIsReset) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
  }

  Tcp::socket m_caller;
  Tcp::socket m_target;
  // Lost data once: carries nothing any more.
  bool m_isMute = false;
  // Fault of this connection's caller.
  LinkFault m_fault = LinkFault::None;
  std::uint16_t m_port = 0;
};

using RelayPtr = std::shared_ptr<Relay>;

} // namespace

struct FaultProxy::Parts : std::enable_shared_from_this<Parts>
{
  Parts(asio::io_context& aContext, SocketAddress aTarget)
    : m_context(aContext)
    , m_acceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_target(std::move(aTarget))
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
      auto relay = std::make_shared<Relay>(std::move(socket));
      beast::error_code ignored;
      relay->m_port = relay->m_caller.remote_endpoint(ignored).port();
      relay->m_fault = FaultOf(*relay);
      if (Refuses(m_fault) || Refuses(relay->m_fault)) {
        relay->Close(true);
        continue;
      }
      std::erase_if(m_relays,
                    [](const auto& aWeak) { return aWeak.expired(); });
      m_relays.push_back(relay);
      asio::co_spawn(m_context, Open(relay), asio::detached);
    }
  }

  asio::awaitable<void> Open(RelayPtr aRelay)
  {
    const auto self = shared_from_this();
    const auto [error] = co_await aRelay->m_target.async_connect(
      Tcp::endpoint(asio::ip::make_address(m_target.m_address),
                    m_target.m_port),
      kAwait);
    if (error) {
      aRelay->Close(true);
      co_return;
    }
    asio::co_spawn(m_context, Carry(aRelay, false), asio::detached);
    co_await Carry(aRelay, true);
  }

  static bool Refuses(LinkFault aFault)
  {
    return aFault == LinkFault::Refused || aFault == LinkFault::RefusedNew;
  }

  static bool Loses(LinkFault aFault, bool aIsAnswer)
  {
    return aFault == LinkFault::Silent ||
           (aFault == LinkFault::AnswersSilent && aIsAnswer);
  }

  LinkFault FaultOf(const Relay& aRelay) const
  {
    return m_faultOf ? m_faultOf(aRelay.m_port) : LinkFault::None;
  }

  void CheckCallers()
  {
    for (const auto& weak : m_relays) {
      if (const RelayPtr relay = weak.lock()) {
        relay->m_fault = FaultOf(*relay);
        if (relay->m_fault == LinkFault::Refused) {
          relay->Close(true);
        }
      }
    }
  }

  asio::awaitable<void> Carry(RelayPtr aRelay, bool aIsAnswer)
  {
    const auto self = shared_from_this();
    Tcp::socket& from = aIsAnswer ? aRelay->m_target : aRelay->m_caller;
    Tcp::socket& to = aIsAnswer ? aRelay->m_caller : aRelay->m_target;
    std::array<char, 8192> bytes{};
    asio::steady_timer timer(m_context);
    for (;;) {
      const auto [error, size] =
        co_await from.async_read_some(asio::buffer(bytes), kAwait);
      aRelay->m_isMute = aRelay->m_isMute || Loses(m_fault, aIsAnswer) ||
                         Loses(aRelay->m_fault, aIsAnswer);
      if (aRelay->m_isMute && error != asio::error::operation_aborted) {
        // Neither data nor an end passes; the other side must find out itself.
        if (error) {
          co_return;
        }
        continue;
      }
      while (BootClock::now() < m_heldUntil) {
        timer.expires_after(m_heldUntil - BootClock::now());
        co_await timer.async_wait(kAwait);
      }
      if (m_fault == LinkFault::Delayed && !error) {
        timer.expires_after(m_delay);
        co_await timer.async_wait(kAwait);
      }
      if (error) {
        aRelay->Close(false);
        co_return;
      }
      const auto [writeError, written] =
        co_await asio::async_write(to, asio::buffer(bytes, size), kAwait);
      if (writeError) {
        aRelay->Close(false);
        co_return;
      }
    }
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  const SocketAddress m_target;
  LinkFault m_fault = LinkFault::None;
  std::function<LinkFault(std::uint16_t)> m_faultOf;
  Duration m_delay{};
  TimePoint m_heldUntil{};
  const Tcp::endpoint m_listen = m_acceptor.local_endpoint();
  std::vector<std::weak_ptr<Relay>> m_relays;
};

FaultProxy::FaultProxy(asio::io_context& aContext, SocketAddress aTarget)
  : m_parts(std::make_shared<Parts>(aContext, std::move(aTarget)))
{
  asio::co_spawn(aContext, m_parts->Accept(), asio::detached);
}

FaultProxy::~FaultProxy()
{
  beast::error_code ignored;
  m_parts->m_acceptor.close(ignored);
  ResetAll();
}

SocketAddress
FaultProxy::Address() const
{
  return { "127.0.0.1", m_parts->m_listen.port() };
}

void
FaultProxy::SetFault(LinkFault aFault, Duration aDelay)
{
  m_parts->m_fault = aFault;
  m_parts->m_delay = aDelay;
}

void
FaultProxy::SetCallerFault(std::function<LinkFault(std::uint16_t)> aFaultOf)
{
  m_parts->m_faultOf = std::move(aFaultOf);
}

void
FaultProxy::CheckCallers()
{
  m_parts->CheckCallers();
}

void
FaultProxy::HoldUntil(TimePoint aUntil)
{
  m_parts->m_heldUntil = std::max(m_parts->m_heldUntil, aUntil);
}

TimePoint
FaultProxy::HeldUntil() const
{
  return m_parts->m_heldUntil;
}

void
FaultProxy::GoDown()
{
  beast::error_code ignored;
  m_parts->m_acceptor.close(ignored);
  ResetAll();
}

bool
FaultProxy::ComeUp()
{
  Tcp::acceptor& acceptor = m_parts->m_acceptor;
  beast::error_code error;
  acceptor.open(m_parts->m_listen.protocol(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(m_parts->m_listen, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    acceptor.close(error);
    return false;
  }
  asio::co_spawn(m_parts->m_context, m_parts->Accept(), asio::detached);
  return true;
}

bool
FaultProxy::IsDown() const
{
  return !m_parts->m_acceptor.is_open();
}

void
FaultProxy::ResetAll()
{
  for (const auto& weak : m_parts->m_relays) {
    if (const RelayPtr relay = weak.lock()) {
      relay->Close(true);
    }
  }
}

} // namespace parsleycove
