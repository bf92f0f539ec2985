// HTTP client for endpoints with persistent connections.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Forwarding/CallResult.h"
#include "Forwarding/ReceiveBudget.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class ConnectionChoice
{
  // An idle connection if there is one, otherwise a new one.
  Reuse,
  // Always a new connection: for calls that must not be retried, whose first
  // byte must not be lost in a connection that the endpoint has closed, and
  // for a retry after a call without an answer.
  New,
};

// Keeps idle connections per address. When a call gets no answer, the idle
// connections to its address are closed as well, since the fault that lost the
// state of one connection may have lost the state of all.
//
// Invariant: used only from the thread that runs its executor.
class EndpointClient
{
public:
  // Memory that the answers of all calls hold together, besides the largest.
  static constexpr std::size_t kMaxHeldBytes = 32UL * 1024 * 1024;
  // The same for short answers, such as those to probes.
  static constexpr std::size_t kMaxShortHeldBytes = 4UL * 1024 * 1024;

  explicit EndpointClient(asio::any_io_executor aExecutor,
                          std::size_t aMaxHeldBytes = kMaxHeldBytes);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Sends one request and waits for its answer for at most aTimeout.
  asio::awaitable<CallResult> Call(SocketAddress aAddress,
                                   HttpRequest aRequest,
                                   Duration aTimeout,
                                   ConnectionChoice aChoice);

  // Returns a POST request with a JSON body.
  static HttpRequest MakeJsonPost(const SocketAddress& aAddress,
                                  const std::string& aPath,
                                  std::string aBody);

private:
  using Connection = std::unique_ptr<beast::tcp_stream>;

  asio::awaitable<Connection> Connect(const SocketAddress& aAddress,
                                      Duration aTimeout,
                                      CallReason& aReason);
  Connection TakeIdle(const std::string& aAddress);
  void AddIdle(const std::string& aAddress, Connection aConnection);
  asio::awaitable<CallResult> Exchange(Connection aConnection,
                                       const std::string& aAddress,
                                       const HttpRequest& aRequest,
                                       TimePoint aDeadline);

  asio::any_io_executor m_executor;
  const std::shared_ptr<ReceiveBudget> m_budget;
  // The most recently used connection of an address is last.
  std::unordered_map<std::string, std::vector<Connection>> m_idle;
};

} // namespace parsleycove
