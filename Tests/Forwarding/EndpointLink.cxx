// The link of one VM to one endpoint, which a test can cut.
#include "Forwarding/EndpointLink.h"

#include <array>
#include <list>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace parsleycove {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

const asio::ip::address kLoopback = asio::ip::make_address("127.0.0.1");

} // namespace

struct EndpointLink::Parts : std::enable_shared_from_this<Parts>
{
  // Both directions of one connection. Bytes that arrive while the link is
  // silent are kept and passed on later.
  struct Connection
  {
    explicit Connection(Tcp::socket aNear)
      : m_near(std::move(aNear))
      , m_far(m_near.get_executor())
    {
    }

    Tcp::socket m_near;
    Tcp::socket m_far;
    std::array<char, 4096> m_fromNear{};
    std::array<char, 4096> m_fromFar{};
    std::string m_heldFromNear;
    std::string m_heldFromFar;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  Parts(asio::io_context& aContext, std::uint16_t aTarget)
    : m_acceptor(aContext, Tcp::endpoint(kLoopback, 0))
    , m_target(aTarget)
    , m_port(m_acceptor.local_endpoint().port())
  {
  }

  void Accept()
  {
    m_acceptor.async_accept(
      [self = shared_from_this()](error_code aError, Tcp::socket aSocket) {
        if (aError) {
          return;
        }
        ++self->m_accepted;
        if (self->m_state == LinkState::Reset) {
          error_code ignored;
          aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
          aSocket.close(ignored);
          self->Accept();
          return;
        }
        auto connection = std::make_shared<Connection>(std::move(aSocket));
        error_code failed;
        connection->m_far.connect({ kLoopback, self->m_target }, failed);
        if (!failed) {
          self->m_connections.push_back(connection);
          self->Pass(connection, true);
          self->Pass(connection, false);
        }
        self->Accept();
      });
  }

  void Pass(const ConnectionPtr& aConnection, bool aFromNear)
  {
    Tcp::socket& from = aFromNear ? aConnection->m_near : aConnection->m_far;
    auto& buffer = aFromNear ? aConnection->m_fromNear : aConnection->m_fromFar;
    from.async_read_some(asio::buffer(buffer),
                         [self = shared_from_this(), aConnection, aFromNear](
                           error_code aError, std::size_t aBytes) {
                           if (aError) {
                             if (self->m_state != LinkState::Silent) {
                               Close(*aConnection);
                             }
                             return;
                           }
                           self->Forward(aConnection, aFromNear, aBytes);
                           self->Pass(aConnection, aFromNear);
                         });
  }

  void Forward(const ConnectionPtr& aConnection,
               bool aFromNear,
               std::size_t aBytes)
  {
    auto& held =
      aFromNear ? aConnection->m_heldFromNear : aConnection->m_heldFromFar;
    const auto& buffer =
      aFromNear ? aConnection->m_fromNear : aConnection->m_fromFar;
    held.append(buffer.data(), aBytes);
    if (m_state != LinkState::Silent) {
      Release(*aConnection);
    }
  }

  static void Release(Connection& aConnection)
  {
    error_code ignored;
    asio::write(
      aConnection.m_far, asio::buffer(aConnection.m_heldFromNear), ignored);
    asio::write(
      aConnection.m_near, asio::buffer(aConnection.m_heldFromFar), ignored);
    aConnection.m_heldFromNear.clear();
    aConnection.m_heldFromFar.clear();
  }

  static void Close(Connection& aConnection)
  {
    error_code ignored;
    aConnection.m_near.close(ignored);
    aConnection.m_far.close(ignored);
  }

  void Reset()
  {
    error_code ignored;
    for (const ConnectionPtr& connection : m_connections) {
      connection->m_near.set_option(asio::socket_base::linger(true, 0),
                                    ignored);
      Close(*connection);
    }
    m_connections.clear();
  }

  void Listen(int aBacklog)
  {
    const Tcp::endpoint local(kLoopback, m_port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen(aBacklog);
  }

  // Leaves no place in the queue of connections, so that the system drops the
  // first packet of further ones.
  void FillQueue()
  {
    for (int i = 0; i < 2; ++i) {
      Tcp::socket& filler = m_fillers.emplace_back(m_acceptor.get_executor());
      filler.async_connect({ kLoopback, m_port }, [](error_code) {});
    }
  }

  void Set(LinkState aState)
  {
    const bool wasListening = m_acceptor.is_open();
    const bool hasHung = m_state == LinkState::Silent;
    m_state = aState;
    if (wasListening && aState != LinkState::Open &&
        aState != LinkState::Reset) {
      m_acceptor.close();
    }
    if (aState == LinkState::Silent) {
      Listen(0);
      FillQueue();
    } else if (aState == LinkState::Open && (!wasListening || hasHung)) {
      m_acceptor.close();
      m_fillers.clear();
      Listen(asio::socket_base::max_listen_connections);
      Accept();
    }
    if (aState == LinkState::Refuse || aState == LinkState::Reset) {
      Reset();
    }
    if (aState == LinkState::Open) {
      for (const ConnectionPtr& connection : m_connections) {
        Release(*connection);
      }
    }
  }

  Tcp::acceptor m_acceptor;
  const std::uint16_t m_target;
  const std::uint16_t m_port;
  LinkState m_state = LinkState::Open;
  int m_accepted = 0;
  std::vector<ConnectionPtr> m_connections;
  std::list<Tcp::socket> m_fillers;
};

EndpointLink::EndpointLink(asio::io_context& aContext, std::uint16_t aTarget)
  : m_parts(std::make_shared<Parts>(aContext, aTarget))
{
  m_parts->Accept();
}

EndpointLink::~EndpointLink()
{
  error_code ignored;
  m_parts->m_acceptor.close(ignored);
  m_parts->Reset();
}

std::uint16_t
EndpointLink::Port() const
{
  return m_parts->m_port;
}

void
EndpointLink::Set(LinkState aState)
{
  m_parts->Set(aState);
}

int
EndpointLink::Connections() const
{
  return m_parts->m_accepted;
}

} // namespace parsleycove
