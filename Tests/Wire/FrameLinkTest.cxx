// Tests of links over loopback: silence, slow readers, damage and reconnects.
#include "Wire/FrameLink.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "Wire/LinkFixture.h"
#include "Wire/PeerLinks.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
namespace asio = boost::asio;

namespace {

FrameLinkOptions
ShortOptions()
{
  FrameLinkOptions options;
  options.m_heartbeatInterval = std::chrono::milliseconds(20);
  options.m_silenceLimit = std::chrono::milliseconds(400);
  options.m_maxQueueBytes = 1024UL * 1024;
  options.m_maxFrameBytes = 64UL * 1024;
  return options;
}

// Connects a plain socket, which sends no heartbeats of its own.
asio::ip::tcp::socket
ConnectPlainly(asio::io_context& aContext, const SocketAddress& aAddress)
{
  asio::ip::tcp::socket socket(aContext);
  socket.connect(
    { asio::ip::make_address(aAddress.m_address), aAddress.m_port });
  return socket;
}

} // namespace

// clang-format off
TEST_GROUP(FrameLink)
{
  asio::io_context m_context;
  LinkServer m_server{ m_context, ShortOptions() };
  RecordingListener m_client;
};
// clang-format on

TEST(FrameLink, CarriesFramesInOrderAndStaysOpenByHeartbeats)
{
  const auto link =
    FrameLink::Connect(m_context, m_server.Address(), ShortOptions(), m_client);
  for (int i = 0; i < 300; ++i) {
    link->Send(MakeFeedFrame(std::to_string(i)));
  }
  CHECK(RunUntil(m_context,
                 [&] { return m_server.m_listener.m_payloads.size() == 300; }));
  for (int i = 0; i < 300; ++i) {
    CHECK(m_server.m_listener.m_payloads[i] == std::to_string(i));
  }
  // Nothing is sent for several silence limits.
  const TimePoint end = BootClock::now() + 3 * ShortOptions().m_silenceLimit;
  CHECK(RunUntil(m_context, [&] { return BootClock::now() > end; }));
  CHECK(link->IsOpen());
  CHECK(m_client.m_closed.empty() && m_server.m_listener.m_closed.empty());
  link->Close();
  CHECK(RunUntil(m_context,
                 [&] { return m_server.m_listener.m_closed.size() == 1; }));
  CHECK(m_client.m_closed.empty());
}

TEST(FrameLink, CountsTheBytesThatWait)
{
  const auto link =
    FrameLink::Connect(m_context, m_server.Address(), ShortOptions(), m_client);
  CHECK_EQUAL(0, link->CountQueuedBytes());
  link->Send(MakeFeedFrame("one"));
  link->Send(MakeFeedFrame("three"));
  CHECK_EQUAL(2 * kFrameHeaderBytes + 8, link->CountQueuedBytes());
  CHECK(RunUntil(m_context, [&] { return link->CountQueuedBytes() == 0; }));
  link->Send(MakeFeedFrame("five"));
  link->Close();
  CHECK_EQUAL(0, link->CountQueuedBytes());
}

TEST(FrameLink, ASilentPeerEndsTheLink)
{
  const auto socket = ConnectPlainly(m_context, m_server.Address());
  CHECK(
    RunUntil(m_context, [&] { return !m_server.m_listener.m_closed.empty(); }));
  CHECK(m_server.m_listener.m_closed[0] == WireError::Silent);
}

TEST(FrameLink, ASlowReaderIsCutOffAndBlocksNoOther)
{
  const auto slow = ConnectPlainly(m_context, m_server.Address());
  CHECK(RunUntil(m_context, [&] { return m_server.m_links.size() == 1; }));
  const auto quick =
    FrameLink::Connect(m_context, m_server.Address(), ShortOptions(), m_client);
  CHECK(RunUntil(m_context, [&] { return m_server.m_links.size() == 2; }));
  const std::string text(32UL * 1024, 'x');
  std::size_t sent = 0;
  // The system's own buffers take some; the link's queue bounds the rest.
  while (m_server.m_listener.m_closed.empty() && sent < 4096) {
    const auto frame = MakeFeedFrame(text);
    m_server.m_links[0]->Send(frame);
    m_server.m_links[1]->Send(frame);
    ++sent;
    RunUntil(m_context, [&] { return m_client.m_payloads.size() == sent; });
  }
  CHECK(m_server.m_listener.m_closed.front() == WireError::QueueFull);
  CHECK_EQUAL(sent, m_client.m_payloads.size());
  CHECK(quick->IsOpen());
  quick->Close();
}

TEST(FrameLink, ABadFrameEndsTheLinkWithItsReason)
{
  auto socket = ConnectPlainly(m_context, m_server.Address());
  auto bytes = MakeFeedFrame("text")->Bytes();
  bytes.back() ^= 1;
  asio::write(socket, asio::buffer(bytes));
  CHECK(
    RunUntil(m_context, [&] { return !m_server.m_listener.m_closed.empty(); }));
  CHECK(m_server.m_listener.m_closed[0] == WireError::BadChecksum);
  CHECK(m_server.m_listener.m_payloads.empty());
}

TEST(FrameLink, PeerLinksReplaceASilentLink)
{
  // Accepts and then says nothing, as a connection that was lost track of.
  asio::ip::tcp::acceptor silent(m_context,
                                 { asio::ip::make_address("127.0.0.1"), 0 });
  std::vector<asio::ip::tcp::socket> accepted;
  std::function<void()> accept = [&] {
    silent.async_accept([&](const boost::system::error_code& aError,
                            asio::ip::tcp::socket aSocket) {
      if (!aError) {
        accepted.push_back(std::move(aSocket));
        accept();
      }
    });
  };
  accept();
  PeerLinksOptions options;
  options.m_link = ShortOptions();
  options.m_reconnectInterval = std::chrono::milliseconds(5);
  int logged = 0;
  PeerLinks links(
    m_context,
    options,
    [](FrameLink&, const ReceivedFrame&) {},
    [&](const std::string&) { ++logged; });
  links.SetPeers({ { 7, { "127.0.0.1", silent.local_endpoint().port() } } });
  CHECK_FALSE(links.Send(8, MakeFeedFrame("x")));
  CHECK(RunUntil(m_context, [&] { return accepted.size() >= 3; }));
  CHECK(logged >= 2);
  links.Close();
  silent.close();
}
