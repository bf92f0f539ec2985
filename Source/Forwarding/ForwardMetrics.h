// Counters and latency histograms of forwarded requests.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <string>

#include "Base/EnumTable.h"
#include "Routing/RoutingConfig.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

// How a request ended.
enum class RequestEnd
{
  Answered,
  // Answered that the request was not executed, and when to retry.
  Refused,
  // Answered with a failure of the endpoint or of the gateway.
  Failed,
  // The connection was closed in the middle of an answer.
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

// Labels are the kind of a request and its end. Client accounts and routes are
// written to the decision log only, since there may be thousands of them.
class ForwardMetrics
{
public:
  explicit ForwardMetrics(MetricRegistry& aRegistry);

  void Count(RequestKind aKind, RequestEnd aEnd);
  // Records the time to the complete answer or to a stream's first event.
  void RecordFirstAnswer(RequestKind aKind, Duration aTaken);
  // Streams whose first event came after its target.
  Counter& LateFirstEvents() { return m_lateFirstEvents; }
  // Pauses between two events that were longer than the event gap target. A
  // stream that moved to another path in the pause had lost an engine; of the
  // others no cause is known, such as engines that read other prompts.
  Counter& Pauses(bool aHasMoved)
  {
    return aHasMoved ? m_pausesMoved : m_pausesInPlace;
  }
  // Records the time between two events of a stream.
  void RecordEventGap(Duration aGap) { m_eventGaps.Record(aGap); }

  Counter& Retries() { return m_retries; }
  Counter& Resumes() { return m_resumes; }
  // Orders to generate a stream's remaining tokens on another path.
  Counter& Reroutes() { return m_reroutes; }
  Counter& Probes() { return m_probes; }
  // Endpoints that said in an answer that they leave, and that asked for a
  // pause.
  Counter& LeavingNotices() { return m_leavingNotices; }
  Counter& PauseNotices() { return m_pauseNotices; }
  // Limits of requests that endpoints named, each change of a limit counted.
  Counter& LimitNotices() { return m_limitNotices; }
  // Engines whose crash was reported with the requests that they had not begun
  // to answer.
  Counter& PromptCrashReports() { return m_promptCrashReports; }
  // Calls broken off since the process held too much of all answers.
  Counter& AnswersOverBudget() { return m_answersOverBudget; }
  // Streams that went back to their silent engine, since no other served them.
  Counter& Stays() { return m_stays; }
  // Answers that were cut after their engine or a stage fell silent, without a
  // broken connection.
  Counter& CutsAfterSilence() { return m_cutsAfterSilence; }
  // Services none of whose endpoints this VM reached, each time counted.
  Counter& LostServices() { return m_lostServices; }
  // Requests passed on to another VM, each VM counted, and requests taken over
  // from another VM.
  Counter& PassedOn() { return m_passedOn; }
  Counter& TakenOver() { return m_takenOver; }
  // Records the time to the first answer of a request that was passed on.
  void RecordPassedOnAnswer(Duration aTaken)
  {
    m_passedOnAnswers.Record(aTaken);
  }
  // Requests of services with several levels of urgency, by level; the levels
  // from kMaxLevels on count as one. Streams only.
  Counter& StartedAt(std::size_t aLevel) { return *m_startedAt[Row(aLevel)]; }
  Counter& QueuedAt(std::size_t aLevel) { return *m_queuedAt[Row(aLevel)]; }
  Counter& RefusedAt(std::size_t aLevel) { return *m_refusedAt[Row(aLevel)]; }
  // Sets how many requests of a level wait for a path, and the part of the
  // paths' room, in percent, that its new requests leave to more urgent ones.
  void SetQueue(std::size_t aLevel,
                std::size_t aWaiting,
                double aReservedPercent);
  static constexpr std::size_t kMaxLevels = 10;
  Counter& NewConnections() { return m_newConnections; }

private:
  static std::size_t Row(std::size_t aLevel)
  {
    return std::min(aLevel, kMaxLevels - 1);
  }

  struct QueueGauges
  {
    std::array<std::atomic<double>, kMaxLevels> m_waiting{};
    std::array<std::atomic<double>, kMaxLevels> m_reservedPercent{};
  };

  // Shared with the registry, which may outlive this.
  std::shared_ptr<QueueGauges> m_queues = std::make_shared<QueueGauges>();
  std::array<Counter*, kMaxLevels> m_queuedAt{};
  std::array<Counter*, kMaxLevels> m_startedAt{};
  std::array<Counter*, kMaxLevels> m_refusedAt{};
  std::array<std::array<Counter*, kRequestEndNames.size()>,
             kRequestKindNames.size()>
    m_ends{};
  std::array<LatencyHistogram*, kRequestKindNames.size()> m_firstAnswers{};
  LatencyHistogram& m_eventGaps;
  Counter& m_lateFirstEvents;
  Counter& m_pausesMoved;
  Counter& m_pausesInPlace;
  Counter& m_retries;
  Counter& m_resumes;
  Counter& m_reroutes;
  Counter& m_probes;
  Counter& m_newConnections;
  Counter& m_leavingNotices;
  Counter& m_pauseNotices;
  Counter& m_limitNotices;
  Counter& m_cutsAfterSilence;
  Counter& m_stays;
  Counter& m_answersOverBudget;
  Counter& m_promptCrashReports;
  Counter& m_lostServices;
  Counter& m_passedOn;
  Counter& m_takenOver;
  LatencyHistogram& m_passedOnAnswers;
};

} // namespace parsleycove
