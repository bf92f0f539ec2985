// Exchanges the limits that endpoints name with the control group.
#include "Forwarding/LimitExchange.h"

#include <utility>

#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/RoutingState.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr Duration kProposeTimeout = std::chrono::milliseconds(800);

} // namespace

LimitExchange::LimitExchange(RoutingState& aRouting,
                             ControlPort& aControl,
                             DecisionLog& aLog,
                             ForwardMetrics& aMetrics)
  : m_routing(aRouting)
  , m_control(aControl)
  , m_log(aLog)
  , m_metrics(aMetrics)
{
}

void
LimitExchange::RecordAnswer(TimePoint aNow,
                            const AnswerOrigin& aOrigin,
                            const RunnerPtr& aRunner,
                            const AnswerHeaders& aHeaders)
{
  EndpointLimits& limits = m_routing.Limits();
  const auto& limit = aHeaders.m_requestLimit;
  if (aOrigin.m_kind == AnswerKind::Probe) {
    limits.RecordProbe(
      aNow, aOrigin.m_sentAt, aRunner, limit, m_routing.GatewayCount());
  } else if (limit) {
    limits.RecordNamed(aNow, aRunner, *limit, m_routing.GatewayCount());
  } else if (aHeaders.m_isSigned) {
    limits.RecordUnnamed(aNow, aOrigin.m_sentAt, *aRunner);
  }
}

void
LimitExchange::Flush(TimePoint aNow)
{
  LogChanges(aNow);
  const auto view = m_control.View();
  auto claims = m_routing.Limits().TakeClaims(
    aNow, view->Image(), m_routing.GatewayCount());
  if (!claims) {
    return;
  }
  state::CommandT command;
  command.body.Set(std::move(*claims));
  // A claim that is lost is made again once the table has not shown it in time.
  m_control.Propose(
    std::move(command),
    aNow + kProposeTimeout,
    [](const auto& aResult, const ControlReason& aReason) {
      if (!aResult) {
        Log(LogLevel::Warning,
            "claims of endpoints' limits were not taken by the control group",
            { { "why", aReason.m_text } });
      }
    });
}

void
LimitExchange::LogChanges(TimePoint aNow)
{
  for (const LimitChange& change : m_routing.Limits().TakeChanges()) {
    if (!change.m_perSecond) {
      m_log.Write(DecisionEvent::EndpointLimitEnded, [&](DecisionLine& aLine) {
        aLine.Add("endpoint", change.m_runner->m_id);
      });
      continue;
    }
    ++m_metrics.LimitNotices();
    m_log.Write(DecisionEvent::EndpointLimited, [&](DecisionLine& aLine) {
      aLine.Add("endpoint", change.m_runner->m_id)
        .AddDecimal("limit_per_s", *change.m_perSecond)
        .AddDecimal("own_per_s", change.m_ownPerSecond)
        .AddDecimal("sent_per_s",
                    change.m_runner->m_load->SentRequests().PerSecond(aNow));
    });
  }
}

} // namespace parsleycove
