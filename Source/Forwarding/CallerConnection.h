// A caller's connection: whole requests in, answers out.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "Base/Clock.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Routing/RoutingConfig.h"
#include "Wire/Http.h"

namespace parsleycove {

enum class ReadResult
{
  Request,
  // The caller closed, broke off or stayed idle.
  Closed,
  HeaderTooLarge,
  BodyTooLarge,
  TimedOut,
  Malformed,
};

// Invariant: one operation at a time, but for the watch on the caller's end.
class CallerConnection final
  : public MonitoredWait
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  explicit CallerConnection(Tcp::socket aSocket);

  asio::awaitable<ReadResult> ReadRequest(const CallerLimits& aLimits);
  const HttpRequest& Request() const { return m_request; }
  // True while bytes of a request that is not whole have come.
  bool IsReading() const { return m_isReading; }

  // False when the caller is gone.
  asio::awaitable<bool> Write(std::string aBytes, Duration aTimeout);

  // Calls back once if the caller closes while its request is served.
  void WatchForDisconnect(std::function<void()> aOnDisconnect);
  void StopWatching();
  bool IsDisconnected() const { return m_isDisconnected; }

  void CloseAfterAnswer() { m_closesAfterAnswer = true; }
  bool Closes() const { return m_closesAfterAnswer; }
  void Close();
  // An idle connection is closed without an answer.
  void CloseIfIdle();

  void OnDeadline(TimePoint aNow) override;

private:
  ReadResult ClassifyReadError(const beast::error_code& aError) const;
  void ArmDisconnectWatch();

  Tcp::socket m_socket;
  beast::flat_buffer m_buffer;
  HttpRequest m_request;
  std::function<void()> m_onDisconnect;
  std::uint64_t m_watchGeneration = 0;
  bool m_isReading = false;
  bool m_isIdle = true;
  bool m_isOverdue = false;
  bool m_isDisconnected = false;
  bool m_closesAfterAnswer = false;
};

using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

} // namespace parsleycove
