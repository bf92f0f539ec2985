// Keeps an endpoint announced to the gateways.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include "Base/SocketAddress.h"
#include "Fakes/Faults.h"
#include "Fakes/HttpMessages.h"

namespace parsleycove::fakes {

// What an endpoint says about itself.
class AnnouncedEndpoint
{
public:
  virtual ~AnnouncedEndpoint() = default;

  // The body of the announcement; id and incarnation are added.
  virtual boost::json::object Describe() = 0;
  // Load and cache events since the last call; id and incarnation are added.
  virtual boost::json::object TakeEvents() = 0;
};

// Announces, renews, reports and leaves, each time through the next gateway,
// as calls through a balancer would go.
class Announcer
{
public:
  Announcer(boost::asio::io_context& aContext,
            std::vector<SocketAddress> aGateways,
            std::string aId,
            AnnouncedEndpoint& aEndpoint,
            const Faults& aFaults);

  // Starts announcing and, with an interval above zero, reporting events.
  void Start(std::chrono::milliseconds aEventsInterval);
  // Announces again at the next renewal, after what is held has changed.
  void AnnounceAgain() { m_announced = false; }
  std::uint64_t Incarnation() const { return m_incarnation; }
  // Says that the endpoint leaves, until a gateway has confirmed it.
  Awaitable<void> Leave();

private:
  Awaitable<void> Renew();
  Awaitable<void> ReportEvents(std::chrono::milliseconds aInterval);
  // Returns the status, or nothing when no gateway answered.
  Awaitable<std::optional<unsigned>> Call(std::string aTarget,
                                          boost::json::object aBody);

  boost::asio::io_context& m_context;
  const std::vector<SocketAddress> m_gateways;
  const std::string m_id;
  const std::uint64_t m_incarnation;
  AnnouncedEndpoint& m_endpoint;
  const Faults& m_faults;
  std::size_t m_next = 0; // which gateway the balancer picks next
  bool m_announced = false;
  bool m_leaving = false;
  std::chrono::milliseconds m_renewWithin{ 5000 };
};

} // namespace parsleycove::fakes
