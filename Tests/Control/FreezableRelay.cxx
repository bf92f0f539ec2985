// A TCP relay that can stop forwarding bytes without closing its connections.
#include "Control/FreezableRelay.h"

#include <array>
#include <future>
#include <list>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace parsleycove {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// One direction of a relayed connection.
struct Pipe : std::enable_shared_from_this<Pipe>
{
  Pipe(std::shared_ptr<tcp::socket> aFrom,
       std::shared_ptr<tcp::socket> aTo,
       std::shared_ptr<bool> aFrozen)
    : m_from(std::move(aFrom))
    , m_to(std::move(aTo))
    , m_frozen(std::move(aFrozen))
  {
  }

  void Read()
  {
    m_from->async_read_some(
      asio::buffer(m_bytes),
      [self = shared_from_this()](const error_code& aError, std::size_t aSize) {
        if (*self->m_frozen) {
          return;
        }
        if (aError) {
          error_code ignored;
          self->m_to->close(ignored);
          return;
        }
        self->Write(aSize);
      });
  }

  void Write(std::size_t aSize)
  {
    asio::async_write(
      *m_to,
      asio::buffer(m_bytes.data(), aSize),
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        if (!aError && !*self->m_frozen) {
          self->Read();
        }
      });
  }

  std::shared_ptr<tcp::socket> m_from;
  std::shared_ptr<tcp::socket> m_to;
  std::shared_ptr<bool> m_frozen; // once true, stays true
  std::array<char, 16UL * 1024> m_bytes{};
};

} // namespace

struct FreezableRelay::Impl
{
  explicit Impl(SocketAddress aTarget)
    : m_target(std::move(aTarget))
    , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    Accept();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~Impl()
  {
    m_context.stop();
    m_thread.join();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Accept()
  {
    m_acceptor.async_accept([this](const error_code& aError, tcp::socket aIn) {
      if (aError) {
        return;
      }
      auto in = std::make_shared<tcp::socket>(std::move(aIn));
      m_sockets.push_back(in);
      if (!*m_frozen) {
        Connect(in);
      }
      Accept();
    });
  }

  void Connect(const std::shared_ptr<tcp::socket>& aIn)
  {
    auto out = std::make_shared<tcp::socket>(m_context);
    m_sockets.push_back(out);
    out->async_connect(
      { asio::ip::make_address(m_target.m_address), m_target.m_port },
      [aIn, out, frozen = m_frozen](const error_code& aError) {
        if (aError) {
          error_code ignored;
          aIn->close(ignored);
          return;
        }
        std::make_shared<Pipe>(aIn, out, frozen)->Read();
        std::make_shared<Pipe>(out, aIn, frozen)->Read();
      });
  }

  void SetFrozen(bool aFrozen)
  {
    std::promise<void> done;
    asio::post(m_context, [&] {
      if (aFrozen) {
        *m_frozen = true;
      } else {
        m_frozen = std::make_shared<bool>(false);
      }
      done.set_value();
    });
    done.get_future().wait();
  }

  const SocketAddress m_target;
  asio::io_context m_context{ 1 };
  tcp::acceptor m_acceptor;
  std::shared_ptr<bool> m_frozen = std::make_shared<bool>(false);
  // Keeps the sockets of frozen connections open until the relay is destroyed.
  std::list<std::shared_ptr<tcp::socket>> m_sockets;
  std::thread m_thread;
};

FreezableRelay::FreezableRelay(SocketAddress aTarget)
  : m_impl(std::make_unique<Impl>(std::move(aTarget)))
{
}

FreezableRelay::~FreezableRelay() = default;

SocketAddress
FreezableRelay::Address() const
{
  return { "127.0.0.1", m_impl->m_acceptor.local_endpoint().port() };
}

void
FreezableRelay::Freeze()
{
  m_impl->SetFrozen(true);
}

void
FreezableRelay::Thaw()
{
  m_impl->SetFrozen(false);
}

} // namespace parsleycove
