// What a gateway makes of another one's report that an engine is dead.
//
// Patterns: an engine goes dark under the streams of ninety gateways, and the
// first to notice has waited for its question's time-out; a gateway that is cut
// off from an engine reports it while the others still get its answers.
#pragma once

#include "Base/Clock.h"

namespace parsleycove {

enum class FailureReportDecision
{
  // Avoid it and move its streams, without a question.
  Believe,
  Ask,
  // Its answers keep coming here.
  Ignore,
};

// What this gateway has seen of the engine itself.
struct LocalEvidence
{
  // Since its last answer, or since this process could judge again.
  Duration m_silentFor{};
  // Some stream through it has delivered an event.
  bool m_hasStreams = false;
  // Silence of its streams that is more than a pause between two events.
  Duration m_stallThreshold{};
};

// aRecentWindow: an engine without streams that has answered within this is
// asked.
FailureReportDecision
EvaluateFailureReport(const LocalEvidence& aEvidence, Duration aRecentWindow);

} // namespace parsleycove
