// A TCP relay that can stop passing bytes on, without closing anything.
#pragma once

#include <memory>

#include "Base/SocketAddress.h"

namespace parsleycove {

// Stands for a network path that loses track of its connections. While it is
// frozen, old connections carry nothing and new ones are taken but not passed
// on; thawed, it carries new connections only, the old ones stay silent.
class FreezableRelay
{
public:
  explicit FreezableRelay(SocketAddress aTarget);
  ~FreezableRelay();
  FreezableRelay(const FreezableRelay&) = delete;
  FreezableRelay& operator=(const FreezableRelay&) = delete;

  SocketAddress Address() const;
  // Both return once they are in effect.
  void Freeze();
  void Thaw();

private:
  struct Impl;

  std::unique_ptr<Impl> m_impl;
};

} // namespace parsleycove
