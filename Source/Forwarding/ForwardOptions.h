// Settings of the forwarding gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "Admission/PathQueue.h"
#include "Base/Clock.h"
#include "Base/SocketAddress.h"
#include "Routing/PromptSpread.h"
#include "Routing/WindowedBudget.h"

namespace parsleycove {

inline constexpr std::size_t kDefaultReceiveBudgetBytes = 32UL * 1024 * 1024;
inline constexpr std::size_t kDefaultAnswerBudgetBytes = 32UL * 1024 * 1024;

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
  // Memory of requests that are not yet read to their end.
  std::size_t m_receiveBudgetBytes = kDefaultReceiveBudgetBytes;
  // Memory of endpoints' answers that are not yet passed on.
  std::size_t m_answerBudgetBytes = kDefaultAnswerBudgetBytes;
  // How long new connections may still arrive after a stop begins. The balancer
  // checks readiness every second and stops sending callers after two failed
  // checks.
  Duration m_drainGrace = std::chrono::milliseconds(2500);
  // The process is killed this long after a stop begins.
  Duration m_stopGrace = std::chrono::seconds(8);
  WindowedBudgetSettings m_retries;
  PathQueueSettings m_pathQueue;
  PromptSpreadSettings m_promptSpread;
};

} // namespace parsleycove
