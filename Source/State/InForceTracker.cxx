// The leader's knowledge of which log index every live gateway has reached.
#include "State/InForceTracker.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr int kClockRateMargin = 100; // one part in

} // namespace

InForceTracker::InForceTracker(Duration aLease)
  : m_lease(aLease + aLease / kClockRateMargin)
{
}

void
InForceTracker::Start(TimePoint aNow)
{
  m_startedAt = aNow;
  m_reports.clear();
  m_inForce = 0;
}

void
InForceTracker::Answer(TimePoint aNow,
                       std::uint64_t aReplica,
                       std::uint64_t aReportedIndex)
{
  Report& report = m_reports[aReplica];
  report.m_index = std::max(report.m_index, aReportedIndex);
  report.m_answeredAt = aNow;
}

std::uint64_t
InForceTracker::InForceIndex(TimePoint aNow, std::uint64_t aCommitIndex)
{
  if (aNow <= m_startedAt + m_lease) {
    return m_inForce;
  }
  std::uint64_t result = aCommitIndex;
  for (const auto& [replica, report] : m_reports) {
    if (aNow <= report.m_answeredAt + m_lease) {
      result = std::min(result, report.m_index);
    }
  }
  m_inForce = std::max(m_inForce, result);
  return m_inForce;
}

} // namespace parsleycove
