// A caller's connection that stays open until the other side closes it,
// whatever the answers say.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Forwarding/CallResult.h"
#include "Wire/Http.h"

namespace parsleycove {

class HeldConnection
{
public:
  explicit HeldConnection(asio::any_io_executor aExecutor);

  // Returns false if the other side refuses.
  asio::awaitable<bool> Connect(SocketAddress aTo);
  // Sends one request and waits for its answer. The connection stays open
  // unless the call fails.
  asio::awaitable<CallResult> Call(HttpRequest aRequest, Duration aTimeout);
  // Waits, without sending, until the other side closes the connection.
  asio::awaitable<void> AwaitEnd();
  bool IsOpen() { return m_stream.socket().is_open(); }

private:
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
};

} // namespace parsleycove
