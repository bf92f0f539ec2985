// The events of the decision log and their names.
#pragma once

#include <array>

#include "Base/EnumTable.h"

namespace parsleycove {

// What a line of the decision log tells.
enum class DecisionEvent
{
  // The process.
  Started,
  Stopping,
  Stopped,
  Reloaded,
  DependencyLost,
  DependencyRegained,
  LinesDropped,
  // What the process believes.
  ConfigInForce,
  ConfigAccepted,
  ConfigRefused,
  EndpointChanged,
  EndpointSuspected,
  EndpointCleared,
  EndpointLeaving,
  EndpointPaused,
  EndpointLimited,
  EndpointLimitEnded,
  EndpointReportRefused,
  EndpointReported,
  EndpointsUnreached,
  EndpointsReached,
  PromptCrashReported,
  PromptPartQuarantined,
  PromptPartCleared,
  PromptPartTried,
  OrderSent,
  OrderAnswered,
  // One request.
  RequestRefused,
  RequestSentAgain,
  RequestPassedOn,
  StreamResumed,
  StreamRerouted,
  StreamStays,
  RequestAnswered,
  RequestFailed,
  RequestCut,
  CallerGone,
};

inline constexpr std::array<EnumName<DecisionEvent>, 37> kDecisionEventNames{ {
  { DecisionEvent::Started, "started" },
  { DecisionEvent::Stopping, "stopping" },
  { DecisionEvent::Stopped, "stopped" },
  { DecisionEvent::Reloaded, "reloaded" },
  { DecisionEvent::DependencyLost, "dependency_lost" },
  { DecisionEvent::DependencyRegained, "dependency_regained" },
  { DecisionEvent::LinesDropped, "lines_dropped" },
  { DecisionEvent::ConfigInForce, "config_in_force" },
  { DecisionEvent::ConfigAccepted, "config_accepted" },
  { DecisionEvent::ConfigRefused, "config_refused" },
  { DecisionEvent::EndpointChanged, "endpoint_changed" },
  { DecisionEvent::EndpointSuspected, "endpoint_suspected" },
  { DecisionEvent::EndpointCleared, "endpoint_cleared" },
  { DecisionEvent::EndpointLeaving, "endpoint_leaving" },
  { DecisionEvent::EndpointPaused, "endpoint_paused" },
  { DecisionEvent::EndpointLimited, "endpoint_limited" },
  { DecisionEvent::EndpointLimitEnded, "endpoint_limit_ended" },
  { DecisionEvent::EndpointReportRefused, "endpoint_report_refused" },
  { DecisionEvent::EndpointReported, "endpoint_reported" },
  { DecisionEvent::EndpointsUnreached, "endpoints_unreached" },
  { DecisionEvent::EndpointsReached, "endpoints_reached" },
  { DecisionEvent::PromptCrashReported, "prompt_crash_reported" },
  { DecisionEvent::PromptPartQuarantined, "prompt_part_quarantined" },
  { DecisionEvent::PromptPartCleared, "prompt_part_cleared" },
  { DecisionEvent::PromptPartTried, "prompt_part_tried" },
  { DecisionEvent::OrderSent, "order_sent" },
  { DecisionEvent::OrderAnswered, "order_answered" },
  { DecisionEvent::RequestRefused, "request_refused" },
  { DecisionEvent::RequestSentAgain, "request_sent_again" },
  { DecisionEvent::RequestPassedOn, "request_passed_on" },
  { DecisionEvent::StreamResumed, "stream_resumed" },
  { DecisionEvent::StreamRerouted, "stream_rerouted" },
  { DecisionEvent::StreamStays, "stream_stays" },
  { DecisionEvent::RequestAnswered, "request_answered" },
  { DecisionEvent::RequestFailed, "request_failed" },
  { DecisionEvent::RequestCut, "request_cut" },
  { DecisionEvent::CallerGone, "caller_gone" },
} };

// Lines that a bounded log gives up last.
constexpr bool
IsEssential(DecisionEvent aEvent)
{
  return aEvent != DecisionEvent::RequestAnswered &&
         aEvent != DecisionEvent::EndpointChanged &&
         aEvent != DecisionEvent::CallerGone;
}

} // namespace parsleycove
