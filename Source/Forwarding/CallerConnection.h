// A caller's connection: reads complete requests and writes answers.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>

#include "Base/Clock.h"
#include "Forwarding/ConnectionPlaces.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Forwarding/ReadResult.h"
#include "Forwarding/ReceiveBudget.h"
#include "Routing/RoutingConfig.h"
#include "Wire/Http.h"

namespace parsleycove {

// Invariant: at most one operation at a time, apart from the watch for a
// disconnect.
class CallerConnection final
  : public MonitoredWait
  , public ConnectionPlaces::Holder
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(Tcp::socket aSocket,
                   std::unique_ptr<ConnectionPlaces::Place> aPlace,
                   std::shared_ptr<ReceiveBudget> aBudget);

  asio::awaitable<ReadResult> ReadRequest(const CallerLimits& aLimits);
  const HttpRequest& Request() const { return m_request; }
  // Returns true while only a part of a request has been received.
  bool IsReading() const { return m_isReading; }

  // Returns false if the caller has disconnected or the bytes could not be
  // written within aTimeout.
  asio::awaitable<bool> Write(std::string aBytes, Duration aTimeout);

  // Calls aOnDisconnect once if the caller closes the connection while its
  // request is served.
  void WatchForDisconnect(std::function<void()> aOnDisconnect);
  void StopWatching();
  bool IsDisconnected() const { return m_isDisconnected; }

  void CloseAfterAnswer() { m_closesAfterAnswer = true; }
  bool ClosesAfterAnswer() const { return m_closesAfterAnswer; }
  void Close();
  // Closes the connection after an answer to a request that was not read to its
  // end, so that the answer arrives.
  asio::awaitable<void> CloseUnread();
  // Closes the connection without an answer if no request has begun on it.
  void CloseIfIdle();

  void OnDeadline(TimePoint aNow) override;
  bool HasInput() const override;
  void OnGivenUp() override;

private:
  void ArmDisconnectWatch();

  Tcp::socket m_socket;
  const std::unique_ptr<ConnectionPlaces::Place> m_place;
  const std::shared_ptr<ReceiveBudget> m_budget;
  beast::flat_buffer m_buffer;
  HttpRequest m_request;
  // Of m_request, from its end on until the next request is read.
  std::optional<ReceiveBudget::Served> m_served;
  std::function<void()> m_onDisconnect;
  std::uint64_t m_watchGeneration = 0;
  bool m_isReading = false;
  bool m_isIdle = true;
  bool m_hasServed = false;
  bool m_isOverdue = false;
  bool m_isDisconnected = false;
  bool m_closesAfterAnswer = false;
};

using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

} // namespace parsleycove
