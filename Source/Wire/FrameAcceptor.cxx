// Listens on one port and hands out a link for each connection.
#include "Wire/FrameAcceptor.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Wire/FrameLinkChannel.h"

namespace parsleycove {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Pause after a failed accept, for instance for want of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryMs{ 100 };

} // namespace

struct FrameAcceptor::Parts : std::enable_shared_from_this<Parts>
{
  Parts(asio::io_context& aContext,
        const FrameLinkOptions& aOptions,
        Handler aHandler)
    : m_acceptor(aContext)
    , m_retryTimer(aContext)
    , m_options(aOptions)
    , m_handler(std::move(aHandler))
  {
  }

  void Accept()
  {
    m_acceptor.async_accept(
      [self = shared_from_this()](const error_code& aError,
                                  asio::ip::tcp::socket aSocket) {
        if (!self->m_acceptor.is_open()) {
          return;
        }
        if (aError) {
          self->AcceptLater();
          return;
        }
        self->m_handler(FrameLink::Pointer(
          new FrameLink(std::make_unique<FrameLink::Channel>(
                          std::move(aSocket), self->m_options.m_maxFrameBytes),
                        self->m_options)));
        self->Accept();
      });
  }

  void AcceptLater()
  {
    m_retryTimer.expires_after(kAcceptRetryMs);
    m_retryTimer.async_wait(
      [self = shared_from_this()](const error_code& aError) {
        if (!aError && self->m_acceptor.is_open()) {
          self->Accept();
        }
      });
  }

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_retryTimer;
  const FrameLinkOptions m_options;
  Handler m_handler;
};

FrameAcceptor::FrameAcceptor(asio::io_context& aContext,
                             const FrameLinkOptions& aOptions,
                             Handler aHandler)
  : m_parts(std::make_shared<Parts>(aContext, aOptions, std::move(aHandler)))
{
}

FrameAcceptor::~FrameAcceptor()
{
  Close();
}

bool
FrameAcceptor::Listen(const SocketAddress& aAddress, WireReason& aReason)
{
  error_code error;
  const auto address = asio::ip::make_address(aAddress.m_address, error);
  if (error) {
    aReason.Set(WireError::BadAddress,
                "address " + aAddress.ToString() + ": expected an IP number");
    return false;
  }
  const asio::ip::tcp::endpoint endpoint(address, aAddress.m_port);
  auto& acceptor = m_parts->m_acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    aReason.Set(WireError::CannotListen,
                "address " + aAddress.ToString() + ": " + error.message());
    return false;
  }
  m_parts->Accept();
  return true;
}

std::uint16_t
FrameAcceptor::Port() const
{
  error_code ignored;
  return m_parts->m_acceptor.local_endpoint(ignored).port();
}

void
FrameAcceptor::Close()
{
  error_code ignored;
  m_parts->m_retryTimer.cancel();
  m_parts->m_acceptor.close(ignored);
}

} // namespace parsleycove
