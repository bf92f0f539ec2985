// Decides how a gateway handles another gateway's report that an engine failed.
#include "Forwarding/FailureReportDecision.h"

namespace parsleycove {

FailureReportDecision
EvaluateFailureReport(const LocalEvidence& aEvidence)
{
  if (aEvidence.m_hasStreams) {
    return aEvidence.m_silentFor > aEvidence.m_stallThreshold
             ? FailureReportDecision::Accept
             : FailureReportDecision::Ignore;
  }
  return FailureReportDecision::Probe;
}

} // namespace parsleycove
