// Decides how a gateway handles another gateway's report that an engine failed.
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
