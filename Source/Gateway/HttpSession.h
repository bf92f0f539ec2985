// One connection of a caller, an endpoint or an operator.
#pragma once

#include "Wire/Http.h"

namespace parsleycove {

class RequestRouter;
class Worker;
struct GatewayServices;

// Reads requests from the connection one after another and answers each.
asio::awaitable<void>
RunHttpSession(Tcp::socket aSocket,
               const RequestRouter& aRouter,
               const GatewayServices& aServices,
               Worker& aWorker);

} // namespace parsleycove
