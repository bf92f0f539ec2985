// What all forwarded requests of a process share.
#pragma once

#include "Base/DrainState.h"
#include "Forwarding/ConnectionPool.h"
#include "Forwarding/DeadlineMonitor.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/ForwardOptions.h"
#include "Forwarding/RoutingState.h"
#include "Telemetry/DecisionLog.h"
#include "Wire/Http.h"

namespace parsleycove {

class EngineFailureDetector;

// Used by the thread that runs the context.
struct ForwardServices
{
  asio::io_context& m_context;
  const ForwardOptions& m_options;
  const ForwardDialect& m_dialect;
  RoutingState& m_routing;
  ConnectionPool& m_pool;
  // Calls to endpoints, and connections of callers.
  DeadlineMonitor& m_callDeadlines;
  DeadlineMonitor& m_callerDeadlines;
  EngineFailureDetector& m_failureDetector;
  DrainState& m_drain;
  DecisionLog& m_log;
  ForwardMetrics& m_metrics;
};

} // namespace parsleycove
