// Settings of the HTTP side of a VM.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "Base/Clock.h"
#include "Base/SocketAddress.h"

namespace parsleycove {

// All of these come from flags or environment variables; see docs/operate.
struct GatewayOptions
{
  std::string m_vm;
  std::string m_zone;
  // Start number of this process; grows with every start of the VM.
  std::uint64_t m_epoch = 0;
  SocketAddress m_listen;
  // SHA-256 of the operators' bearer key in hex; empty: no operator calls.
  std::string m_operatorKeyHash;
  std::size_t m_threads = 2;
  std::size_t m_maxConnections = 20000;
  std::size_t m_maxHeaderBytes = 16 * 1024;
  std::size_t m_maxBodyBytes = 1024 * 1024;
  Duration m_idleTimeout = std::chrono::seconds(60);
  // How long callers may still arrive after /readyz has turned: the check
  // interval of the platform's balancer, with some room.
  Duration m_drainGrace = std::chrono::seconds(3);
  // How often endpoints are told to renew their announcement.
  Duration m_renewInterval = std::chrono::seconds(5);
};

} // namespace parsleycove
