// Decides how a gateway handles another gateway's report that an engine failed.
//
// The decision covers two situations. An engine with streams of ninety gateways
// stops answering: the first gateway to notice has waited for its probe to time
// out, and the other gateways need not wait again. A gateway that is cut off
// from an engine reports the engine as failed, while the other gateways still
// receive its answers.
#pragma once

#include "Base/Clock.h"

namespace parsleycove {

enum class FailureReportDecision
{
  // Avoid the engine and move its streams without a probe.
  Accept,
  Probe,
  // This gateway still receives answers from the engine.
  Ignore,
};

// What this gateway has observed of the engine.
struct LocalEvidence
{
  // Time since the engine's last answer. Time in which this process may have
  // been paused is left out if the engine has streams.
  Duration m_silentFor{};
  // Some stream through the engine has delivered an event.
  bool m_hasStreams = false;
  // Silence of the streams that is too long to be a pause between two events.
  Duration m_stallThreshold{};
};

// An engine without streams is probed: nothing that this VM has seen speaks
// against the engine.
FailureReportDecision
EvaluateFailureReport(const LocalEvidence& aEvidence);

} // namespace parsleycove
