// Records what endpoints say in their answers about taking new work.
#pragma once

#include <string_view>

#include "Base/Clock.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/LimitExchange.h"
#include "Routing/Runner.h"

namespace parsleycove {

class ConnectionPool;
class DecisionLog;
class ForwardMetrics;
class RoutingState;

// Used by one thread only.
class NoticeRecorder
{
public:
  NoticeRecorder(RoutingState& aRouting,
                 ConnectionPool& aPool,
                 LimitExchange& aLimits,
                 ForwardMetrics& aMetrics,
                 DecisionLog& aLog);

  // aAnswering is the endpoint that the answer came from, aFaulty the stage
  // that it names as the cause, or nullptr. The pause holds for both: the
  // answering endpoint asked for it, and the stage behind it has no room.
  void Record(TimePoint aNow,
              const AnswerOrigin& aOrigin,
              const RunnerPtr& aAnswering,
              const RunnerPtr& aFaulty,
              const AnswerHeaders& aHeaders);

private:
  void RecordLeaving(const Runner& aRunner, std::string_view aAttemptId);
  void RecordPause(TimePoint aNow,
                   const Runner& aRunner,
                   const AnswerHeaders& aHeaders);
  void RecordFault(const Runner& aRunner, const AnswerHeaders& aHeaders);

  RoutingState& m_routing;
  ConnectionPool& m_pool;
  LimitExchange& m_limits;
  ForwardMetrics& m_metrics;
  DecisionLog& m_log;
};

} // namespace parsleycove
