// A forwarding gateway with stub endpoints and a caller, on one thread.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "ConfigDocument.h"
#include "Forwarding/ForwardGateway.h"
#include "Forwarding/StubEndpoint.h"
#include "PlatformDialect.h"
#include "Support/FakeControl.h"
#include "Support/MemorySink.h"

namespace parsleycove {

class ForwardFixture
{
public:
  ForwardFixture();
  ~ForwardFixture();

  // Routes: /safe/, /unsafe/ to the plain service; /stream/ (resumable) and
  // /once/ (not resumable) to the model. Key k1 belongs to account-1.
  // aAccounts, if given, stands for that account.
  void PutConfig(std::uint64_t aVersion = 1, const std::string& aAccounts = {});
  StubEndpoint& AddPlainEndpoint();
  // Holds layers [aFirst, aEnd) of 4.
  StubEndpoint& AddEngine(std::uint32_t aFirst, std::uint32_t aEnd);
  // Another VM reports the endpoint dead; it announces itself again.
  void Suspect(const StubEndpoint& aEndpoint);
  void AnnounceAgain(const StubEndpoint& aEndpoint);
  std::string IdOf(const StubEndpoint& aEndpoint) const;
  void Start();

  // A connection of a caller.
  class Caller
  {
  public:
    Caller(ForwardFixture& aFixture, std::uint16_t aPort);
    void Send(const std::string& aBytes);
    void Close() { m_socket.close(); }
    const std::string& Received() const { return m_received; }
    bool IsClosed() const { return m_closed; }

  private:
    void Read();

    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    std::array<char, 4096> m_chunk{};
    bool m_closed = false;
  };

  std::unique_ptr<Caller> Connect();
  // Sends one request on a new connection and runs until it is answered.
  std::string Ask(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aExtraHeaders = {},
                  const std::string& aBody = {});
  // Runs until the condition holds; false at a deadline that only a failing
  // test reaches.
  bool RunUntil(const std::function<bool()>& aCondition);
  // Value of a metric without labels; -1: it is not on the page.
  int MetricOf(const std::string& aName) const;

  boost::asio::io_context m_context;
  FakeControl m_control;
  MemorySink m_sink;
  DecisionLog m_log{ "vm-1", m_sink };
  MetricRegistry m_metrics;
  ForwardOptions m_options;
  std::unique_ptr<ForwardGateway> m_gateway;

private:
  StubEndpoint& Announce(state::EndpointT aEndpoint);

  const platform::PlatformDialect m_dialect{};
  const platform::ConfigDocument m_codec{};
  std::deque<StubEndpoint> m_endpoints;
};

// A request as a caller writes it.
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aExtraHeaders = {},
            const std::string& aBody = {});

// Status of an answer.
int
StatusOf(const std::string& aAnswer);

// Numbers of the events in an answer, in order.
std::vector<int>
EventsOf(const std::string& aAnswer);

// The answer's chunked body has its last chunk.
bool
IsComplete(const std::string& aAnswer);

inline constexpr std::string_view kOrderTarget = "/parsleycove/order";

// A script that answers reports of an engine's state, refuses orders, and
// answers others by aScript.
StubEndpoint::Script
WithEngineState(StubEndpoint::Script aScript);

std::string
AttemptIdOf(const HttpRequest& aRequest);

} // namespace parsleycove
