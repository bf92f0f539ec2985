// Takes connections on one address and runs a coroutine for each.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Base/SocketAddress.h"
#include "Wire/Http.h"

namespace parsleycove {

// Connections beyond the limit are closed at once, so that their callers turn
// to another VM.
class AcceptLoop
{
public:
  using ConnectionHandler = std::function<asio::awaitable<void>(Tcp::socket)>;

  AcceptLoop(asio::io_context& aContext, std::size_t aMaxConnections);
  ~AcceptLoop();
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

  // False with the reason when the address cannot be taken.
  bool Open(const SocketAddress& aListen, std::string& aReason);
  void Start(ConnectionHandler aHandler);
  void Close();
  std::uint16_t Port() const;

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
