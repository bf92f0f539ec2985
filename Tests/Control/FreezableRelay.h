// A TCP relay that can stop forwarding bytes without closing its connections.
#pragma once

#include <memory>

#include "Base/SocketAddress.h"

namespace parsleycove {

// Simulates a network path that loses its connection state. While the relay is
// frozen, it forwards nothing on existing connections and accepts new ones
// without connecting them to the target. After Thaw() it forwards new
// connections only; those from before stay open and carry nothing.
class FreezableRelay
{
public:
  explicit FreezableRelay(SocketAddress aTarget);
  ~FreezableRelay();
  FreezableRelay(const FreezableRelay&) = delete;
  FreezableRelay& operator=(const FreezableRelay&) = delete;

  SocketAddress Address() const;
  // Freeze and Thaw return after the change has taken effect.
  void Freeze();
  void Thaw();

private:
  struct Impl;

  std::unique_ptr<Impl> m_impl;
};

} // namespace parsleycove
