// Exchanges the limits that endpoints name with the control group.
#pragma once

#include "Base/Clock.h"
#include "Forwarding/ForwardDialect.h"
#include "Routing/Runner.h"
#include "State/ControlPort.h"

namespace parsleycove {

class DecisionLog;
class ForwardMetrics;
class RoutingState;

enum class AnswerKind
{
  // To a request of a caller.
  Request,
  // To a question for an engine's state.
  Probe,
};

struct AnswerOrigin
{
  AnswerKind m_kind{};
  TimePoint m_sentAt{};
};

// Used by one thread only.
class LimitExchange
{
public:
  LimitExchange(RoutingState& aRouting,
                ControlPort& aControl,
                DecisionLog& aLog,
                ForwardMetrics& aMetrics);

  // Records what an endpoint's own answer says about its limit.
  void RecordAnswer(TimePoint aNow,
                    const AnswerOrigin& aOrigin,
                    const RunnerPtr& aRunner,
                    const AnswerHeaders& aHeaders);
  // Sends what is due to the control group, and logs what has changed.
  void Flush(TimePoint aNow);

private:
  void LogChanges(TimePoint aNow);

  RoutingState& m_routing;
  ControlPort& m_control;
  DecisionLog& m_log;
  ForwardMetrics& m_metrics;
};

} // namespace parsleycove
