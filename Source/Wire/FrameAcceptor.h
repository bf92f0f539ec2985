// Listens on one port and hands out a link for each connection.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "Base/SocketAddress.h"
#include "Wire/FrameLink.h"

namespace parsleycove {

// Accepts connections on the thread of its io_context.
class FrameAcceptor
{
public:
  // The link has to be started by the handler, or it is dropped.
  using Handler = std::function<void(FrameLink::Pointer)>;

  FrameAcceptor(boost::asio::io_context& aContext,
                const FrameLinkOptions& aOptions,
                Handler aHandler);
  ~FrameAcceptor();
  FrameAcceptor(const FrameAcceptor&) = delete;
  FrameAcceptor& operator=(const FrameAcceptor&) = delete;

  bool Listen(const SocketAddress& aAddress, WireReason& aReason);
  // The port that was bound; differs from the one asked for when that was 0.
  std::uint16_t Port() const;
  void Close();

private:
  struct Parts;

  // Shared with the pending accept, which may end after this object.
  std::shared_ptr<Parts> m_parts;
};

} // namespace parsleycove
