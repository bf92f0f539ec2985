// Forwards a request whose answer is one whole body.
#pragma once

#include "Forwarding/ForwardedRequest.h"

namespace parsleycove {

// Safe requests are given to another endpoint after any failure, unsafe ones
// only where the first one said that it did not run them.
asio::awaitable<void>
ForwardPlain(ForwardedRequest& aRequest);

} // namespace parsleycove
