// A persistent connection to an endpoint.
#pragma once

#include <memory>

#include <boost/beast/core/flat_buffer.hpp>

#include "Base/Clock.h"
#include "Wire/Http.h"

namespace parsleycove {

// Invariant: between two requests the buffer is empty and no operation is
// pending on the socket.
struct EndpointConnection
{
  explicit EndpointConnection(const asio::any_io_executor& aExecutor)
    : m_socket(aExecutor)
  {
  }

  Tcp::socket m_socket;
  beast::flat_buffer m_buffer;
  // The endpoint may close the idle connection from this time on.
  TimePoint m_idleUntil = TimePoint::max();
  bool m_wasUsed = false;
};

using EndpointConnectionPtr = std::unique_ptr<EndpointConnection>;

} // namespace parsleycove
