// Idle connections to endpoints.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Forwarding/EndpointConnection.h"
#include "Routing/Runner.h"

namespace parsleycove {

// Connections belong to one incarnation of an endpoint: an address is used
// again by others.
class ConnectionPool
{
public:
  // Null when none is idle that the endpoint still holds open.
  EndpointConnectionPtr TakeIdle(const Runner& aRunner, TimePoint aNow);
  // aIdleFor: how long the endpoint leaves it open.
  void AddIdle(const Runner& aRunner,
               EndpointConnectionPtr aConnection,
               TimePoint aNow,
               Duration aIdleFor);
  // A connection to it fell silent; the others may have, too.
  void CloseIdle(const Runner& aRunner);
  // Closes what the endpoints are about to close.
  void CloseExpired(TimePoint aNow);
  std::size_t Count() const { return m_count; }

private:
  static std::uint64_t KeyOf(const Runner& aRunner);

  // Most recently used last.
  std::unordered_map<std::uint64_t, std::vector<EndpointConnectionPtr>> m_idle;
  std::size_t m_count = 0;
};

} // namespace parsleycove
