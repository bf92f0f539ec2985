// Tests of the calls to gateways against an HTTP server in this process.
#include <thread>

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
