// Forwards requests that are answered with one complete body.
#pragma once

#include "Forwarding/ForwardedRequest.h"

namespace parsleycove {

// Forwards a request and writes the answer to the caller. Retries a safe
// request on another endpoint after any failure, an unsafe request only if it
// was not executed: no connection was made, or the endpoint said so.
asio::awaitable<void>
ForwardPlain(ForwardedRequest& aRequest);

} // namespace parsleycove
