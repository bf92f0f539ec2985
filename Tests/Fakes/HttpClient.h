// One HTTP call on a connection of its own.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "Base/SocketAddress.h"
#include "Fakes/HttpMessages.h"

namespace parsleycove::fakes {

// Sends a POST and returns the answer, or nothing when none came in time.
Awaitable<std::optional<HttpResponse>>
PostJson(SocketAddress aServer,
         std::string aTarget,
         std::string aBody,
         std::chrono::milliseconds aTimeout);

} // namespace parsleycove::fakes
