// An io_context whose pending operations can be dropped before it ends.
#pragma once

#include <boost/asio/io_context.hpp>

namespace parsleycove {

class EventLoop : public boost::asio::io_context
{
public:
  using io_context::io_context;

  // Destroys all pending operations, and with them the coroutines that wait for
  // one. Called after the last run and before what the coroutines refer to is
  // destroyed; objects that belong to the loop, as sockets and timers, may
  // outlive the call.
  void DropOperations() { shutdown(); }
};

} // namespace parsleycove
