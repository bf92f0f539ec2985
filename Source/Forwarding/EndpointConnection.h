// A persistent connection to an endpoint.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

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
  // Ids of the attempts that the endpoint refused on this connection. It may
  // write a refusal once more, and nothing would tell that from the answer to
  // the same attempt.
  std::vector<std::string> m_refusedAttempts;

  bool HasRefused(std::string_view aAttemptId) const
  {
    return std::find(m_refusedAttempts.begin(),
                     m_refusedAttempts.end(),
                     aAttemptId) != m_refusedAttempts.end();
  }
};

using EndpointConnectionPtr = std::unique_ptr<EndpointConnection>;

} // namespace parsleycove
