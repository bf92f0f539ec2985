// Records what endpoints say in their answers about taking new work.
#include "Forwarding/NoticeRecorder.h"

#include <string>

#include "Forwarding/ConnectionPool.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/RoutingState.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

NoticeRecorder::NoticeRecorder(RoutingState& aRouting,
                               ConnectionPool& aPool,
                               LimitExchange& aLimits,
                               ForwardMetrics& aMetrics,
                               DecisionLog& aLog)
  : m_routing(aRouting)
  , m_pool(aPool)
  , m_limits(aLimits)
  , m_metrics(aMetrics)
  , m_log(aLog)
{
}

void
NoticeRecorder::Record(TimePoint aNow,
                       const AnswerOrigin& aOrigin,
                       const RunnerPtr& aAnswering,
                       const RunnerPtr& aFaulty,
                       const AnswerHeaders& aHeaders)
{
  if (!aHeaders.m_unreadable.empty()) {
    RecordFault(*aAnswering, aHeaders);
  }
  // A misdirected request may have been answered by another endpoint that has
  // the address now, unless the answer names a stage behind the first one.
  const bool isOwnAnswer =
    !aHeaders.m_isMisdirected ||
    (aFaulty && aFaulty->m_address != aAnswering->m_address);
  if (aHeaders.m_isLeaving && isOwnAnswer) {
    RecordLeaving(*aAnswering, aHeaders.m_attemptId);
  }
  if (isOwnAnswer) {
    m_limits.RecordAnswer(aNow, aOrigin, aAnswering, aHeaders);
  }
  if (aHeaders.m_pause) {
    RecordPause(aNow, *aAnswering, aHeaders);
    if (aFaulty && aFaulty != aAnswering) {
      RecordPause(aNow, *aFaulty, aHeaders);
    }
  }
}

void
NoticeRecorder::RecordLeaving(const Runner& aRunner,
                              std::string_view aAttemptId)
{
  if (!aRunner.m_load->Notice().MarkLeaving()) {
    return;
  }
  m_routing.RememberLeaving(aRunner);
  m_pool.CloseIdle(aRunner);
  ++m_metrics.LeavingNotices();
  m_log.Write(DecisionEvent::EndpointLeaving, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aRunner.m_id)
      .Add("address", aRunner.m_address.ToString())
      .Add("why", "the endpoint said so in an answer")
      .Add("id", aAttemptId);
  });
}

void
NoticeRecorder::RecordPause(TimePoint aNow,
                            const Runner& aRunner,
                            const AnswerHeaders& aHeaders)
{
  if (!aRunner.m_load->Notice().PauseFor(aNow, *aHeaders.m_pause)) {
    return;
  }
  m_routing.InvalidatePaths();
  ++m_metrics.PauseNotices();
  m_log.Write(DecisionEvent::EndpointPaused, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aRunner.m_id)
      .AddMs("pause_ms", *aHeaders.m_pause)
      .Add("id", aHeaders.m_attemptId);
  });
}

void
NoticeRecorder::RecordFault(const Runner& aRunner,
                            const AnswerHeaders& aHeaders)
{
  if (aRunner.m_load->Notice().ClaimFaultReport()) {
    Log(LogLevel::Warning,
        "an endpoint's answer has a header that cannot be used as it is",
        { { "endpoint", aRunner.m_id },
          { "header", std::string(aHeaders.m_unreadable) },
          { "id", std::string(aHeaders.m_attemptId) } });
  }
}

} // namespace parsleycove
