// Accepts connections on one address and runs a coroutine for each.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Base/SocketAddress.h"
#include "Forwarding/ConnectionPlaces.h"
#include "Wire/Http.h"

namespace parsleycove {

// For a connection beyond the limit another one is given up. If none can be, it
// is closed at once, so that its caller connects to another VM.
class AcceptLoop
{
public:
  using PlacePtr = std::unique_ptr<ConnectionPlaces::Place>;
  using ConnectionHandler =
    std::function<asio::awaitable<void>(Tcp::socket, PlacePtr)>;

  AcceptLoop(asio::io_context& aContext,
             std::shared_ptr<ConnectionPlaces> aPlaces);
  ~AcceptLoop();
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

  // Returns false and sets aReason if the address cannot be bound.
  bool Open(const SocketAddress& aListen, std::string& aReason);
  void Start(ConnectionHandler aHandler);
  void Close();
  std::uint16_t Port() const;

private:
  struct Parts;

  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
