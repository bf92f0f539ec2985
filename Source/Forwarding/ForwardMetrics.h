// Counters and latencies of forwarded requests.
#pragma once

#include <array>
#include <string>

#include "Base/EnumTable.h"
#include "Routing/RoutingConfig.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

// How a request ended.
enum class RequestEnd
{
  Answered,
  // Told that it has not run, and when to come back.
  Refused,
  // Answered with a failure of the endpoint or of our own.
  Failed,
  // The connection was ended within an answer.
  Cut,
  CallerGone,
};

inline constexpr std::array<EnumName<RequestEnd>, 5> kRequestEndNames{ {
  { RequestEnd::Answered, "answered" },
  { RequestEnd::Refused, "refused" },
  { RequestEnd::Failed, "failed" },
  { RequestEnd::Cut, "cut" },
  { RequestEnd::CallerGone, "caller_gone" },
} };

inline constexpr std::array<EnumName<RequestKind>, 3> kRequestKindNames{ {
  { RequestKind::Safe, "safe" },
  { RequestKind::Unsafe, "unsafe" },
  { RequestKind::Streaming, "streaming" },
} };

// Labels are the kind of request and its end; accounts and routes are told by
// the decision log, since there may be thousands of them.
class ForwardMetrics
{
public:
  explicit ForwardMetrics(MetricRegistry& aRegistry);

  void Count(RequestKind aKind, RequestEnd aEnd);
  // Until the whole answer, or a stream's first event.
  void RecordFirstAnswer(RequestKind aKind, Duration aTaken);
  // Between two events of a stream.
  void RecordEventGap(Duration aGap) { m_eventGaps.Record(aGap); }

  Counter& Retries() { return m_retries; }
  Counter& Resumes() { return m_resumes; }
  // Orders to send a stream's further tokens another way.
  Counter& Reroutes() { return m_reroutes; }
  Counter& Probes() { return m_probes; }
  Counter& NewConnections() { return m_newConnections; }

private:
  std::array<std::array<Counter*, kRequestEndNames.size()>,
             kRequestKindNames.size()>
    m_ends{};
  std::array<LatencyHistogram*, kRequestKindNames.size()> m_firstAnswers{};
  LatencyHistogram& m_eventGaps;
  Counter& m_retries;
  Counter& m_resumes;
  Counter& m_reroutes;
  Counter& m_probes;
  Counter& m_newConnections;
};

} // namespace parsleycove
