// Objects that all forwarded requests of a process share.
#pragma once

#include "Base/DrainState.h"
#include "Forwarding/ActivityWatch.h"
#include "Forwarding/ConnectionPool.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/ForwardOptions.h"
#include "Forwarding/RoutingBoard.h"
#include "Telemetry/DecisionLog.h"
#include "Wire/Http.h"

namespace parsleycove {

class PathDoctor;

// Used only by the thread that runs m_context.
struct ForwardServices
{
  asio::io_context& m_context;
  const ForwardOptions& m_options;
  const ForwardDialect& m_dialect;
  RoutingBoard& m_board;
  ConnectionPool& m_pool;
  // Deadlines of calls to endpoints and of callers' connections.
  ActivityWatch& m_callWatch;
  ActivityWatch& m_callerWatch;
  PathDoctor& m_doctor;
  DrainState& m_drain;
  DecisionLog& m_log;
  ForwardMetrics& m_metrics;
};

} // namespace parsleycove
