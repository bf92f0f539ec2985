// Pool of idle connections to endpoints.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Forwarding/EndpointConnection.h"
#include "Routing/Runner.h"

namespace parsleycove {

// A connection belongs to one incarnation of an endpoint, since another
// endpoint may get the address later.
class ConnectionPool
{
public:
  // Returns nullptr if there is no idle connection that the endpoint still
  // holds open and on which it has not refused the attempt.
  EndpointConnectionPtr TakeIdle(const Runner& aRunner,
                                 std::string_view aAttemptId,
                                 TimePoint aNow);
  // aIdleFor is the time for which the endpoint keeps the idle connection open.
  void AddIdle(const Runner& aRunner,
               EndpointConnectionPtr aConnection,
               TimePoint aNow,
               Duration aIdleFor);
  // Closes all idle connections to the endpoint. Called when one connection got
  // no answer in time, since the others may be unresponsive, too.
  void CloseIdle(const Runner& aRunner);
  // Closes the connections that their endpoints are about to close.
  void CloseExpired(TimePoint aNow);
  std::size_t Count() const { return m_count; }

private:
  static std::uint64_t KeyOf(const Runner& aRunner);

  // The most recently used connection of an endpoint is last.
  std::unordered_map<std::uint64_t, std::vector<EndpointConnectionPtr>> m_idle;
  std::size_t m_count = 0;
};

} // namespace parsleycove
