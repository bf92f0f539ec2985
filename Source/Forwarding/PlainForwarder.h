// Forwards a request whose answer is one whole body.
#pragma once

#include "Forwarding/RequestJob.h"

namespace parsleycove {

// Safe requests are given to another endpoint after any failure, unsafe ones
// only where the first one said that it did not run them.
asio::awaitable<void>
ForwardPlain(RequestJob& aJob);

} // namespace parsleycove
