// Settings of the forwarding gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Admission/PathQueue.h"
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
  // Address of the readiness check for the balancer; metrics have their own
  // port.
  SocketAddress m_readiness;
  // Address at which other VMs pass requests on to this VM; without it this VM
  // takes none over.
  std::optional<SocketAddress> m_takeover;
  std::size_t m_maxConnections = 3000;
  // How long new connections may still arrive after a stop begins. The balancer
  // checks readiness every second and stops sending callers after two failed
  // checks.
  Duration m_drainGrace = std::chrono::milliseconds(2500);
  // The process is killed this long after a stop begins.
  Duration m_stopGrace = std::chrono::seconds(8);
  WindowedBudgetSettings m_retries;
  PathQueueSettings m_pathQueue;
};

} // namespace parsleycove
