// The table of settings that parsleycoved takes.
#pragma once

#include <array>
#include <string_view>

namespace parsleycove {

enum class SettingId
{
  Vm,
  Zone,
  Listen,
  OperatorKeyHash,
  Seeds,
  DataFolder,
  ControlListen,
  ReplicaId,
  ClusterId,
  Bootstrap,
  EndpointLeaseMs,
  Threads,
  MaxConnections,
  MaxWaiting,
  MaxHeaderBytes,
  MaxBodyBytes,
  ReceiveBudgetBytes,
  AnswerBudgetBytes,
  IdleTimeoutMs,
  DrainGraceMs,
  Role,
  SettingsFile,
  ReadinessListen,
  TakeoverListen,
  MetricsListen,
  PeerPort,
  FirstStart,
  ToleratedLosses,
  ConfigLeaseMs,
  RevocationLimitMs,
  RetryRatio,
  RetrySlack,
  RetryWindowMs,
  PromptSpread,
  StopGraceMs,
  LogLevel,
  LogFile,
  TraceFile,
};

// One setting: the flag --m_name and the environment variable m_variable.
struct SettingRow
{
  SettingId m_id;
  std::string_view m_name;
  std::string_view m_variable;
  std::string_view m_default;
  std::string_view m_expected;
  std::string_view m_help;
};

inline constexpr std::string_view kVariablePrefix = "PARSLEYCOVE_";
inline constexpr std::size_t kSettingCount = 38;

extern const std::array<SettingRow, kSettingCount> kSettings;

const SettingRow&
RowOf(SettingId aId);

} // namespace parsleycove
