// Serves the requests of one caller's connection in sequence.
#pragma once

#include "Forwarding/CallerConnection.h"
#include "Forwarding/ForwardServices.h"

namespace parsleycove {

enum class SessionKind
{
  Caller,
  // Another VM passes requests on.
  Gateway,
};

asio::awaitable<void>
RunForwardSession(ForwardServices& aServices,
                  CallerConnectionPtr aCaller,
                  SessionKind aKind = SessionKind::Caller);

} // namespace parsleycove
