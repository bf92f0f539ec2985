// Pool of idle connections to endpoints.
#include "Forwarding/ConnectionPool.h"

#include <algorithm>

#include "Routing/Random.h"

namespace parsleycove {

namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 64;
// A connection with more refusals is closed rather than remembered with only a
// part of them.
constexpr std::size_t kMaxRefusedAttempts = 64;

// An idle connection that has become readable was closed by the endpoint, or
// holds bytes that belong to no request.
bool
IsStillOpen(EndpointConnection& aConnection)
{
  beast::error_code error;
  char byte = 0;
  aConnection.m_socket.receive(
    asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

std::uint64_t
ConnectionPool::KeyOf(const Runner& aRunner)
{
  return MixBits(aRunner.m_idHash ^ aRunner.m_incarnation);
}

EndpointConnectionPtr
ConnectionPool::TakeIdle(const Runner& aRunner,
                         std::string_view aAttemptId,
                         TimePoint aNow)
{
  const auto found = m_idle.find(KeyOf(aRunner));
  if (found == m_idle.end()) {
    return nullptr;
  }
  std::vector<EndpointConnectionPtr>& idle = found->second;
  for (std::size_t place = idle.size(); place-- != 0;) {
    if (idle[place]->HasRefused(aAttemptId)) {
      continue;
    }
    EndpointConnectionPtr connection = std::move(idle[place]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(place));
    --m_count;
    if (aNow < connection->m_idleUntil && IsStillOpen(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void
ConnectionPool::AddIdle(const Runner& aRunner,
                        EndpointConnectionPtr aConnection,
                        TimePoint aNow,
                        Duration aIdleFor)
{
  std::vector<EndpointConnectionPtr>& idle = m_idle[KeyOf(aRunner)];
  if (idle.size() >= kMaxIdlePerEndpoint || aIdleFor <= Duration::zero() ||
      aConnection->m_refusedAttempts.size() > kMaxRefusedAttempts) {
    return;
  }
  aConnection->m_idleUntil = aNow + aIdleFor;
  aConnection->m_wasUsed = true;
  idle.push_back(std::move(aConnection));
  ++m_count;
}

void
ConnectionPool::CloseIdle(const Runner& aRunner)
{
  if (const auto found = m_idle.find(KeyOf(aRunner)); found != m_idle.end()) {
    m_count -= found->second.size();
    m_idle.erase(found);
  }
}

void
ConnectionPool::CloseExpired(TimePoint aNow)
{
  for (auto place = m_idle.begin(); place != m_idle.end();) {
    m_count -= std::erase_if(place->second, [&](const auto& aConnection) {
      return aConnection->m_idleUntil <= aNow;
    });
    place = place->second.empty() ? m_idle.erase(place) : std::next(place);
  }
}

} // namespace parsleycove
