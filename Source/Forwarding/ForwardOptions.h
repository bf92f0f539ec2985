// Settings of forwarding.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Routing/WindowedBudget.h"

namespace parsleycove {

struct ForwardOptions
{
  std::string m_vm;
  std::string m_zone;
  std::uint64_t m_seed = 1;
  SocketAddress m_listen;
  // Readiness for the balancer; metrics have a port of their own.
  SocketAddress m_readiness;
  std::size_t m_maxConnections = 3000;
  // After a stop begins: how long new connections may still come. The
  // balancer asks every second and turns away after two refusals.
  Duration m_drainGrace = std::chrono::milliseconds(2500);
  // The process is killed this long after a stop begins.
  Duration m_stopGrace = std::chrono::seconds(8);
  WindowedBudgetSettings m_retries;
};

} // namespace parsleycove
