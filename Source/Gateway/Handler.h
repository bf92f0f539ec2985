// The answer to one kind of HTTP request.
#pragma once

#include "Wire/Http.h"

namespace parsleycove {

class Responder;
struct RequestContext;

class Handler
{
public:
  virtual ~Handler() = default;

  // Writes exactly one answer. Called on the thread of the request's worker.
  virtual asio::awaitable<void> Handle(const RequestContext& aContext,
                                       Responder& aResponder) = 0;
};

} // namespace parsleycove
