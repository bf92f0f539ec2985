// Serves the requests of one caller's connection, one after the other.
#pragma once

#include "Forwarding/CallerLink.h"
#include "Forwarding/ForwardServices.h"

namespace parsleycove {

asio::awaitable<void>
RunForwardSession(ForwardServices& aServices, CallerLinkPtr aCaller);

} // namespace parsleycove
