// Serves the requests of one caller's connection, one after the other.
#pragma once

#include "Forwarding/CallerConnection.h"
#include "Forwarding/ForwardServices.h"

namespace parsleycove {

asio::awaitable<void>
RunForwardSession(ForwardServices& aServices, CallerConnectionPtr aCaller);

} // namespace parsleycove
