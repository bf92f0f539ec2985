// What a gateway makes of another one's report that an engine is dead.
#include "Forwarding/ReportVerdict.h"

namespace parsleycove {

ReportVerdict
JudgeReport(const OwnEvidence& aEvidence, Duration aRecent)
{
  if (aEvidence.m_hasStreams) {
    return aEvidence.m_silentFor > aEvidence.m_standstill
             ? ReportVerdict::Believe
             : ReportVerdict::Ignore;
  }
  return aEvidence.m_silentFor >= aRecent ? ReportVerdict::Believe
                                          : ReportVerdict::Ask;
}

} // namespace parsleycove
