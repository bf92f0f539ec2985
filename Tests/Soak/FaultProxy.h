// A loopback TCP proxy that harms the connections it carries.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"

namespace parsleycove {

enum class LinkFault
{
  None,
  // Every piece of data arrives this much later.
  Delayed,
  // Nothing passes, nothing is closed.
  Silent,
  // As silent, but only towards the caller.
  AnswersSilent,
  // Connections are refused by an immediate reset.
  Refused,
  // As refused, but open connections go on.
  RefusedNew,
};

// Runs on the thread of its context.
class FaultProxy
{
public:
  FaultProxy(boost::asio::io_context& aContext, SocketAddress aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  SocketAddress Address() const;
  // Holds for open connections and new ones. A connection that was silent once
  // stays so for good, as after a network path that lost track of it.
  void SetFault(LinkFault aFault, Duration aDelay = {});
  // Sets the function that tells the fault of a connection by the port of its
  // caller, in addition to the fault of all; asked for each new connection, and
  // for the open ones at CheckCallers().
  void SetCallerFault(std::function<LinkFault(std::uint16_t)> aFaultOf);
  void CheckCallers();
  // Carries nothing before aUntil and everything, in its order, afterwards, as
  // a process does that does not run for a while.
  void HoldUntil(TimePoint aUntil);
  TimePoint HeldUntil() const;
  // Resets all connections and listens no more until ComeUp, whatever the
  // fault.
  void GoDown();
  // Returns false if another process has the port at the moment.
  bool ComeUp();
  bool IsDown() const;
  // Resets all open connections.
  void ResetAll();

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
