// Counts requests that were not read to their end.
#include "Forwarding/UnreadRequests.h"

#include <utility>

#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr Duration kLineInterval = std::chrono::seconds(1);

} // namespace

UnreadRequests::UnreadRequests(MetricRegistry& aMetrics)
{
  for (std::size_t i = 0; i < m_causes.size(); ++i) {
    m_causes[i].m_total = &aMetrics.AddCounter(
      "parsleycove_unread_requests_total",
      "cause=\"" + std::string(kUnreadCauseNames[i].m_name) + "\"");
  }
}

void
UnreadRequests::Count(ReadResult aCause, TimePoint aNow)
{
  for (std::size_t i = 0; i < m_causes.size(); ++i) {
    if (kUnreadCauseNames[i].m_value != aCause) {
      continue;
    }
    Cause& cause = m_causes[i];
    ++*cause.m_total;
    ++cause.m_sinceLine;
    if (aNow >= cause.m_nextLine) {
      cause.m_nextLine = aNow + kLineInterval;
      Log(LogLevel::Warning,
          "requests were not read to their end",
          { { "cause", std::string(kUnreadCauseNames[i].m_name) },
            { "requests",
              std::to_string(std::exchange(cause.m_sinceLine, 0)) } });
    }
  }
}

} // namespace parsleycove
