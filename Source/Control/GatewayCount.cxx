// Counts the gateways that serve callers, from what the replicas report.
#include "Control/GatewayCount.h"

#include <algorithm>

namespace parsleycove {

GatewayCount::GatewayCount(Duration aLease, Duration aHold)
  : m_lease(aLease)
  , m_hold(aHold)
{
}

void
GatewayCount::StartTerm(TimePoint aNow)
{
  m_reports.clear();
  m_periodStart = aNow;
  m_periodHighest = 0;
}

void
GatewayCount::RecordReport(TimePoint aNow,
                           std::uint64_t aReplica,
                           std::uint32_t aGateways,
                           bool aHasQuorum)
{
  m_reports[aReplica] = { aGateways, aNow };
  const std::uint32_t sum = SumReports(aNow);
  m_periodHighest = std::max(m_periodHighest, sum);
  if (aHasQuorum && aNow - m_periodStart >= m_lease) {
    Set(aNow, m_periodHighest);
    m_periodStart = aNow;
    m_periodHighest = sum;
  } else if (const std::uint32_t known = Get(aNow); known != 0 && sum > known) {
    Set(aNow, sum);
  }
}

void
GatewayCount::RecordLeaderCount(TimePoint aNow, std::uint32_t aGateways)
{
  if (aGateways != 0) {
    Set(aNow, aGateways);
  }
}

std::uint32_t
GatewayCount::Get(TimePoint aNow) const
{
  return aNow - m_confirmedAt < m_hold ? m_count : 0;
}

std::uint32_t
GatewayCount::SumReports(TimePoint aNow) const
{
  std::uint32_t sum = 0;
  for (const auto& [replica, report] : m_reports) {
    if (aNow - report.m_at < m_lease) {
      sum += report.m_gateways;
    }
  }
  return sum;
}

void
GatewayCount::Set(TimePoint aNow, std::uint32_t aGateways)
{
  m_count = aGateways;
  m_confirmedAt = aNow;
}

} // namespace parsleycove
