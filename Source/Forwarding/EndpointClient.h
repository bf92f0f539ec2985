// HTTP calls to endpoints over kept connections.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Forwarding/CallResult.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class ConnectionChoice
{
  // An idle connection where there is one.
  Kept,
  // Always a new connection: for calls that may not be repeated, whose first
  // byte must not be lost in a connection that the endpoint has closed, and
  // for a retry after silence.
  Fresh,
};

// Keeps idle connections per address. When a call gets no answer, the idle
// connections to that address are dropped with it, since whatever lost track
// of the one may have lost track of all.
//
// Invariant: used from one thread only, the one that runs its executor.
class EndpointClient
{
public:
  explicit EndpointClient(asio::any_io_executor aExecutor);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Sends one request and waits for its answer for at most aTimeout.
  asio::awaitable<CallResult> Call(SocketAddress aAddress,
                                   HttpRequest aRequest,
                                   Duration aTimeout,
                                   ConnectionChoice aChoice);

  // A POST with a JSON body.
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
  // Most recently used connection last.
  std::unordered_map<std::string, std::vector<Connection>> m_idle;
};

} // namespace parsleycove
