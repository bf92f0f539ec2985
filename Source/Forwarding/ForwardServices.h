// Objects that all forwarded requests of a process share.
#pragma once

#include <memory>

#include "Base/DrainState.h"
#include "Forwarding/ConnectionPool.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/ForwardOptions.h"
#include "Forwarding/ReceiveBudget.h"
#include "Forwarding/RoutingState.h"
#include "Forwarding/UnreadRequests.h"
#include "Telemetry/DecisionLog.h"
#include "Wire/Http.h"

namespace parsleycove {

class EndpointChecker;
class EngineFailureDetector;
class NoticeRecorder;
class PromptPartReporter;
class ReachMonitor;

// Used only by the thread that runs m_context.
struct ForwardServices
{
  asio::io_context& m_context;
  const ForwardOptions& m_options;
  const ForwardDialect& m_dialect;
  RoutingState& m_routing;
  ConnectionPool& m_pool;
  // Deadlines of calls to endpoints and of callers' connections.
  DeadlineMonitor& m_callDeadlines;
  DeadlineMonitor& m_callerDeadlines;
  EngineFailureDetector& m_failureDetector;
  EndpointChecker& m_endpointChecker;
  NoticeRecorder& m_notices;
  PromptPartReporter& m_promptParts;
  ReachMonitor& m_reach;
  DrainState& m_drain;
  DecisionLog& m_log;
  ForwardMetrics& m_metrics;
  UnreadRequests& m_unread;
  // Memory of endpoints' answers that are not yet passed on.
  std::shared_ptr<ReceiveBudget> m_answerBudget;
};

} // namespace parsleycove
