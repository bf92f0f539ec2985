// Forwards a request whose answer is a series of events.
#pragma once

#include "Forwarding/RequestJob.h"

namespace parsleycove {

// Whole events are passed on as they come. Where the route allows it, a stream
// whose endpoint or path broke goes on at another one within the same answer,
// after the last whole event.
asio::awaitable<void>
ForwardStream(RequestJob& aJob);

} // namespace parsleycove
