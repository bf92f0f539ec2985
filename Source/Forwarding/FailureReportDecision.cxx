// What a gateway makes of another one's report that an engine is dead.
#include "Forwarding/FailureReportDecision.h"

namespace parsleycove {

FailureReportDecision
EvaluateFailureReport(const LocalEvidence& aEvidence, Duration aRecentWindow)
{
  if (aEvidence.m_hasStreams) {
    return aEvidence.m_silentFor > aEvidence.m_stallThreshold
             ? FailureReportDecision::Believe
             : FailureReportDecision::Ignore;
  }
  return aEvidence.m_silentFor >= aRecentWindow ? FailureReportDecision::Believe
                                                : FailureReportDecision::Ask;
}

} // namespace parsleycove
