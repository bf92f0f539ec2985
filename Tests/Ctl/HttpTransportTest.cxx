// Tests of the calls to gateways against an HTTP server in this process.
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "Ctl/HttpTransport.h"
#include "Fakes/HttpServer.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove; // NOLINT: of a test

namespace {

// Answers with the bearer key and the body that came in.
class EchoHandler final : public fakes::HttpHandler
{
public:
  fakes::Awaitable<fakes::HttpResponse> Handle(
    const fakes::HttpRequest& aRequest,
    fakes::Fate) override
  {
    co_return fakes::JsonAnswer(
      409, std::string(aRequest["Authorization"]) + '|' + aRequest.body());
  }
  bool IsWork(const fakes::HttpRequest&) const override { return true; }
  std::string Audit() const override { return "{}"; }
};

} // namespace

TEST_GROUP(HttpTransport)
{
  void setup() override
  {
    m_server.Listen({ "127.0.0.1", 0 });
    m_address = m_server.LocalAddress();
  }
  void Start()
  {
    m_thread = std::thread([this] { m_context.run(); });
  }
  void teardown() override
  {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  boost::asio::io_context m_context{ 1 };
  EchoHandler m_handler;
  fakes::HttpServer m_server{ m_context, m_handler };
  SocketAddress m_address;
  std::thread m_thread;
  parsleycove::HttpTransport m_transport{ "secret" };
  TransportReason m_reason;
};

TEST(HttpTransport, CarriesKeyBodyAndStatus)
{
  Start();
  const auto answer =
    m_transport.Send(m_address, { HttpMethod::Post, "/x", "body" }, m_reason);
  CHECK_TRUE(answer.has_value());
  CHECK_EQUAL(409, answer->m_status);
  STRCMP_EQUAL("Bearer secret|body", answer->m_body.c_str());
}

TEST(HttpTransport, AMalformedAnswerIsLost)
{
  using boost::asio::ip::tcp;
  for (const char* head : { "HTTP/1.1 000 OK\r\n",
                            "HTTP/1.1 200 OK\r\nX-A: b\r\n ",
                            "HTTP/1.1 200 OK\r\nX A: b\r\n" }) {
    tcp::acceptor acceptor(m_context,
                           { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      boost::asio::write(
        socket,
        boost::asio::buffer(std::string(head) + "Content-Length: 0\r\n\r\n"));
      char byte = 0;
      boost::system::error_code ended;
      while (!ended) {
        socket.read_some(boost::asio::buffer(&byte, 1), ended);
      }
    });
    const auto answer =
      m_transport.Send({ "127.0.0.1", acceptor.local_endpoint().port() },
                       { HttpMethod::Post, "/x", "body" },
                       m_reason);
    server.join();
    CHECK_FALSE_TEXT(answer.has_value(), head);
    CHECK_TRUE(m_reason.m_code == TransportError::AnswerLost);
  }
}

TEST(HttpTransport, TellsALostAnswerFromARefusedConnection)
{
  boost::json::object switches;
  switches["drop_next"] = 1;
  m_server.Switches().Apply(switches);
  Start();
  const AdminCall call{ HttpMethod::Post, "/x", "body" };
  CHECK_FALSE(m_transport.Send(m_address, call, m_reason).has_value());
  CHECK_TRUE(m_reason.m_code == TransportError::AnswerLost);
  // Port 1 of loopback listens to nobody.
  CHECK_FALSE(m_transport.Send({ "127.0.0.1", 1 }, call, m_reason).has_value());
  CHECK_TRUE(m_reason.m_code == TransportError::NotSent);
}

TEST(HttpTransport, AChunkLineWithoutEndEndsTheCall)
{
  constexpr std::size_t kMaxSentBytes = 32UL * 1024 * 1024;
  using Tcp = boost::asio::ip::tcp;
  Tcp::acceptor acceptor(m_context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  std::size_t sent = 0;
  m_thread = std::thread([&] {
    Tcp::socket socket = acceptor.accept();
    std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=";
    boost::system::error_code error;
    while (!error && sent < kMaxSentBytes) {
      sent += boost::asio::write(socket, boost::asio::buffer(bytes), error);
      bytes.assign(64UL * 1024, 'x');
    }
  });
  const std::uint16_t port = acceptor.local_endpoint().port();
  const AdminCall call{ HttpMethod::Get, "/x", "" };
  CHECK_FALSE(
    m_transport.Send({ "127.0.0.1", port }, call, m_reason).has_value());
  m_thread.join();
  CHECK_TRUE(m_reason.m_code == TransportError::AnswerLost);
  CHECK(sent < kMaxSentBytes);
}
