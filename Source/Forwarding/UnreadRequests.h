// Counts requests that were not read to their end. Load pattern: clients that
// keep to no limit cause thousands of refusals a second, and a log line for
// each would itself be load.
#pragma once

#include <array>
#include <cstdint>

#include "Base/Clock.h"
#include "Base/EnumTable.h"
#include "Forwarding/ReadResult.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

inline constexpr std::array<EnumName<ReadResult>, 5> kUnreadCauseNames{ {
  { ReadResult::HeaderTooLarge, "header_too_large" },
  { ReadResult::BodyTooLarge, "body_too_large" },
  { ReadResult::TimedOut, "timed_out" },
  { ReadResult::Malformed, "malformed" },
  { ReadResult::Refused, "receive_budget_full" },
} };

class UnreadRequests
{
public:
  explicit UnreadRequests(MetricRegistry& aMetrics);

  // Logs at most one line per cause and second, with the number of requests
  // since the line before.
  void Count(ReadResult aCause, TimePoint aNow);

private:
  struct Cause
  {
    Counter* m_total = nullptr;
    std::uint64_t m_sinceLine = 0;
    TimePoint m_nextLine{};
  };

  std::array<Cause, kUnreadCauseNames.size()> m_causes{};
};

} // namespace parsleycove
