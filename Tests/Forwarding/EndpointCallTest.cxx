// Tests of a call that is interrupted while its answer ends.
#include "Forwarding/EndpointCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(EndpointCall)
{
  asio::io_context m_context;
  ConnectionPool m_pool;
  Tcp::acceptor m_acceptor{ m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  Tcp::socket m_endpoint{ m_context };
  EndpointCallPtr m_call;
  std::string m_body;
  bool m_isOpen = false;

  // Reads the first part of an answer without a length.
  void setup() override
  {
    boost::intrusive_ptr<Runner> runner(new Runner);
    runner->m_address = { "127.0.0.1", m_acceptor.local_endpoint().port() };
    runner->m_load.reset(new RunnerLoad);
    m_call = std::make_shared<EndpointCall>(m_context.get_executor(), m_pool, runner, nullptr, CallInfo{});
    asio::co_spawn(m_context, Begin(), asio::detached);
    m_context.run();
    CHECK_EQUAL(std::string("part"), m_body);
  }
  asio::awaitable<void> Begin()
  {
    if (co_await m_call->Connect(std::chrono::seconds(1))) {
      m_acceptor.accept(m_endpoint);
      m_call->Send("GET / HTTP/1.1\r\n\r\n", {});
      // Closing with unread bytes would reset the connection.
      std::string request;
      asio::read_until(m_endpoint, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(m_endpoint, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
      if (co_await m_call->ReadHeader()) {
        m_isOpen = co_await m_call->ReadBody(m_body);
      }
    }
  }
  asio::awaitable<void> ReadOn()
  {
    m_isOpen = co_await m_call->ReadBody(m_body);
  }
  // Suspends the call after its read has ended and before it learns of that.
  void SuspendAtEnd()
  {
    m_context.restart();
    asio::co_spawn(m_context, ReadOn(), asio::detached);
    asio::post(m_context, [this] { m_call->Suspend(CallEnd::Stalled); });
    m_context.run();
    CHECK_FALSE(m_isOpen);
  }
  void ReadAfterResume()
  {
    m_context.restart();
    asio::co_spawn(m_context, ReadOn(), asio::detached);
    m_context.run();
    CHECK_FALSE(m_isOpen);
  }
};
// clang-format on

TEST(EndpointCall, AnAnswerThatIsResetWhileItsCallIsSuspendedIsNotComplete)
{
  m_endpoint.set_option(asio::socket_base::linger(true, 0));
  m_endpoint.close();
  SuspendAtEnd();
  if (m_call->Resume()) {
    ReadAfterResume();
  }
  CHECK(m_call->End() != CallEnd::None);
  CHECK_FALSE(m_call->IsSuspended());
}

TEST(EndpointCall, AnAnswerThatEndsInOrderWhileItsCallIsSuspendedIsComplete)
{
  m_endpoint.close();
  SuspendAtEnd();
  CHECK_TRUE(m_call->Resume());
  ReadAfterResume();
  CHECK(m_call->End() == CallEnd::None);
  CHECK_EQUAL(std::string("part"), m_body);
}
