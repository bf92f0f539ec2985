// What a gateway makes of another one's report that an engine is dead.
#include "Forwarding/FailureReportDecision.h"

namespace parsleycove {

FailureReportDecision
EvaluateFailureReport(const LocalEvidence& aEvidence, Duration aRecentWindow)
{
  if (aEvidence.m_hasStreams) {
    return aEvidence.m_silentFor > aEvidence.m_stallThreshold
             ? FailureReportDecision::Accept
             : FailureReportDecision::Ignore;
  }
  return aEvidence.m_silentFor >= aRecentWindow ? FailureReportDecision::Accept
                                                : FailureReportDecision::Probe;
}

} // namespace parsleycove
