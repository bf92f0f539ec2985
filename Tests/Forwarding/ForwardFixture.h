// Runs a forwarding gateway, stub endpoints and callers on one thread.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "ConfigDocument.h"
#include "Forwarding/EndpointLink.h"
#include "Forwarding/ForwardGateway.h"
#include "Forwarding/StubEndpoint.h"
#include "PlatformDialect.h"
#include "Support/FakeControl.h"
#include "Support/MemorySink.h"
#include "Support/RewiredControl.h"
#include "Wire/EventLoop.h"

namespace parsleycove {

class ForwardFixture
{
public:
  ForwardFixture();
  ~ForwardFixture();

  // Applies a configuration. Its routes /safe/ and /unsafe/ lead to the plain
  // service, /stream/ (resumable) and /once/ (not resumable) to the model. The
  // key k1 belongs to account-1; aAccounts, if not empty, replaces this
  // account.
  void PutConfig(std::uint64_t aVersion = 1, const std::string& aAccounts = {});
  // Applies a configuration of the plain routes and the plain service only.
  void PutConfigWithoutModel(std::uint64_t aVersion);
  StubEndpoint& AddPlainEndpoint();
  // Adds an engine that holds layers [aFirst, aEnd) of 4.
  StubEndpoint& AddEngine(std::uint32_t aFirst, std::uint32_t aEnd);
  // Applies the report of another VM that the endpoint has failed.
  void ReportSuspected(const StubEndpoint& aEndpoint);
  // Announces the endpoint again, which withdraws the report.
  void AnnounceAgain(const StubEndpoint& aEndpoint);
  // Announces the endpoint of that id as started again.
  void AnnounceNewStart(const std::string& aId);
  // Drops the endpoint from the list, as at the end of its lease.
  void DropFromList(const StubEndpoint& aEndpoint);
  // Lists the endpoint again in the same start, after DropFromList().
  void ListAgain(const StubEndpoint& aEndpoint);
  std::string IdOf(const StubEndpoint& aEndpoint) const;
  void Start();
  // Leads the first gateway's way to every endpoint over a link that can be
  // cut. Called before Start(), after the endpoints were added.
  void LinkFirstGateway();
  void SetLinks(LinkState aState);
  // Returns the link of the first gateway to the endpoint.
  EndpointLink& LinkOf(const StubEndpoint& aEndpoint);
  // Starts a gateway of another VM on the same replicated state. Returns its
  // port.
  std::uint16_t StartSecondGateway();

  // A caller's connection to the gateway.
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
    std::string m_unsent;
    std::array<char, 4096> m_chunk{};
    bool m_closed = false;
  };

  // aPort 0: the port of the first gateway.
  std::unique_ptr<Caller> Connect(std::uint16_t aPort = 0);
  // Sends one request on a new connection and runs until the gateway closes the
  // connection. Returns all bytes received.
  std::string SendRequest(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aExtraHeaders = {},
                          const std::string& aBody = {},
                          std::uint16_t aPort = 0);
  // Runs until the condition holds. Returns false at a deadline that only a
  // failing test reaches.
  bool RunUntil(const std::function<bool()>& aCondition);
  // Returns the value of a metric without labels, or -1 if the metrics page
  // does not contain the metric.
  int MetricOf(const std::string& aName) const;

  EventLoop m_context;
  FakeControl m_control;
  // The control group as the first gateway sees it.
  RewiredControl m_rewired{ m_control };
  MemorySink m_sink;
  DecisionLog m_log{ "vm-1", m_sink };
  MetricRegistry m_metrics;
  ForwardOptions m_options;
  // Target time to the first event of the streams that PutConfig configures.
  int m_streamTargetMs = 500;
  // Time-out of the plain requests that PutConfig configures.
  int m_plainTimeoutMs = 1000;
  // Limit of callers' bodies that PutConfig configures.
  std::size_t m_maxBodyBytes = 4096;
  std::unique_ptr<ForwardGateway> m_gateway;
  MetricRegistry m_secondMetrics;
  std::unique_ptr<ForwardGateway> m_secondGateway;

private:
  void PutDocument(std::uint64_t aVersion, const std::string& aText);
  StubEndpoint& Announce(state::EndpointT aEndpoint);

  const platform::PlatformDialect m_dialect{};
  const platform::ConfigDocument m_codec{};
  std::deque<StubEndpoint> m_endpoints;
  // The endpoints that were dropped from the list, by id.
  std::map<std::string, state::EndpointT> m_dropped;
  // In the order of m_endpoints; empty unless LinkFirstGateway() was called.
  std::deque<EndpointLink> m_links;
};

// Returns a request as a caller sends it.
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aExtraHeaders = {},
            const std::string& aBody = {});

// Returns the HTTP status of an answer.
int
StatusOf(const std::string& aAnswer);

// Returns the ids of the events in an answer, in order.
std::vector<int>
EventsOf(const std::string& aAnswer);

// Returns true if the answer ends with the last chunk of a chunked body.
bool
IsComplete(const std::string& aAnswer);

inline constexpr std::string_view kOrderTarget = "/parsleycove/order";

// Returns a script that answers queries of the engine's state, refuses orders,
// and answers all other requests by aScript.
StubEndpoint::Script
WithEngineState(StubEndpoint::Script aScript);

std::string
AttemptIdOf(const HttpRequest& aRequest);

// Returns how many requests of callers reached the endpoint; probes of an
// engine's state do not count.
std::size_t
AttemptsAt(const StubEndpoint& aEndpoint);

// Returns the seconds of an answer's Retry-After, or -1 without one.
double
RetryAfterOf(const std::string& aAnswer);

} // namespace parsleycove
