// The checked settings of one process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Control/ControlClient.h"
#include "Control/ReplicaIdentity.h"
#include "Control/ReplicaServiceOptions.h"
#include "Daemon/SettingReader.h"
#include "Forwarding/ForwardOptions.h"
#include "Gateway/GatewayOptions.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

// What a process serves.
enum class DaemonRole
{
  Gateway,
  Entry,
  Control,
};

struct DaemonSettings
{
  DaemonRole m_role = DaemonRole::Gateway;
  // Role entry.
  ForwardOptions m_forward;
  // Roles entry and control.
  std::size_t m_receiveBudgetBytes = kDefaultReceiveBudgetBytes;
  // Role control: what decides the replica's identity.
  ReplicaStart m_start;
  // Empty: none.
  std::optional<SocketAddress> m_metricsListen;
  std::string m_settingsFile;
  GatewayOptions m_gateway;
  ControlClientOptions m_client;
  // Only on a VM with a data folder.
  std::optional<ReplicaServiceOptions> m_replica;
  LogLevel m_logLevel = LogLevel::Info;
  std::string m_logFile;
  std::string m_traceFile;

  // Checks all settings together. Nothing is opened before that; each error
  // names the setting, its value and what was expected.
  static std::optional<DaemonSettings> Check(const SettingReader& aReader,
                                             std::uint64_t aEpoch,
                                             SettingReason& aReason);
};

} // namespace parsleycove
