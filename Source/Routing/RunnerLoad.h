// What this process knows of one endpoint's load and health.
#pragma once

#include <atomic>
#include <cstdint>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Base/Clock.h"

namespace parsleycove {

// A small circuit: work flows, is kept away, or one probe may try again.
enum class CircuitState
{
  Closed,
  Suspect,
  HalfOpen,
};

// Load and health of one endpoint id and incarnation, shared by all threads.
//
// Counts of this process are exact; whatever a reply or report said is a hint
// that loses weight with its age.
class RunnerLoad : public boost::intrusive_ref_counter<RunnerLoad>
{
public:
  // A stream or call was assigned to the endpoint, or has left it.
  void AddStream() { m_streams.fetch_add(1, std::memory_order_relaxed); }
  void RemoveStream() { m_streams.fetch_sub(1, std::memory_order_relaxed); }

  // Every StartStep is followed by exactly one FinishStep or AbandonStep.
  void StartStep(std::uint32_t aPositions);
  // Records a good reply: aExpected is what was predicted when it was sent.
  void FinishStep(TimePoint aNow,
                  std::uint32_t aPositions,
                  Duration aTaken,
                  Duration aExpected);
  void AbandonStep(std::uint32_t aPositions);

  // Tells that a step leaves now; called before its StartStep.
  void RecordSend(TimePoint aNow);
  // True while steps are out and no answer came for several round trips.
  bool IsUnresponsive(TimePoint aNow) const;
  // True when a step was answered well after that time.
  bool HasAnsweredSince(TimePoint aTime) const;

  // When it last answered; the clock's epoch: never.
  TimePoint AnsweredAt() const
  {
    return TimePoint(Duration(Load(m_answeredAtNs)));
  }

  // Takes the load that a reply or a report carried.
  void RecordReport(TimePoint aNow,
                    std::uint32_t aQueued,
                    std::uint32_t aRunning);
  // Counts a failure; repeated ones keep work away for a growing time.
  void RecordFailure(TimePoint aNow);

  // Counts a step sent at aSentAt that stayed unanswered. When nothing else
  // was answered since, the endpoint is kept away at once.
  void RecordTimeout(TimePoint aNow, TimePoint aSentAt);

  CircuitState Circuit(TimePoint aNow) const;
  // Takes the one probe of a half-open circuit; true when the caller has it.
  bool ClaimProbe(TimePoint aNow);

  // Memory for requests that this process has assigned, in tokens.
  void ReserveTokens(std::int32_t aTokens)
  {
    m_reservedTokens.fetch_add(aTokens, std::memory_order_relaxed);
  }
  std::int32_t ReservedTokens() const { return Load(m_reservedTokens); }
  // Prompts that this process has sent it as the first engine of a path and
  // that have no answer yet, in tokens.
  void AddPendingPrefill(std::int32_t aTokens)
  {
    m_pendingPrefillTokens.fetch_add(aTokens, std::memory_order_relaxed);
  }
  std::int32_t PendingPrefillTokens() const
  {
    return Load(m_pendingPrefillTokens);
  }
  // Keeps work away for this long, whatever happened before.
  void Suspect(TimePoint aNow, Duration aFor);
  // It refuses new work for now; what it has goes on. Refusals that follow one
  // another double the time, up to eight times.
  void EjectFor(TimePoint aNow, Duration aFor);
  bool IsEjected(TimePoint aNow) const
  {
    return aNow.time_since_epoch().count() < Load(m_ejectedUntilNs);
  }
  // The endpoint has shown that it is alive.
  void CloseCircuit(TimePoint aNow);
  // The same, without a look at the circuit.
  void RecordAnswer(TimePoint aNow)
  {
    m_answeredAtNs.store(aNow.time_since_epoch().count(),
                         std::memory_order_relaxed);
  }
  // An event came this long after the one before it, on a stream whose path
  // begins at this engine.
  void RecordEventGap(TimePoint aNow, Duration aGap);
  // The usual one; zero: not known of late.
  Duration EventGap(TimePoint aNow) const;
  // The endpoint says that its work takes this many times as long.
  void RecordSlowdown(TimePoint aNow, double aSlowdown);

  std::int32_t Streams() const { return Load(m_streams); }
  std::int32_t Steps() const { return Load(m_steps); }
  std::int32_t Positions() const { return Load(m_positions); }
  // Work of all gateways: the own streams plus what others were reported to
  // have there, faded by the age of the report.
  // aHalfLifeSeconds: about as long as work stays there.
  double EstimateStreams(TimePoint aNow, double aHalfLifeSeconds = 0.5) const;
  // Observed over predicted step time; 1 when nothing is known.
  double Slowdown(TimePoint aNow) const;
  // Zero until a step has been answered.
  Duration RoundTrip() const { return Duration(Load(m_roundTripNs)); }
  Duration ServicePerPosition() const { return Duration(Load(m_positionNs)); }

private:
  void AddSlowdownSample(TimePoint aNow, double aSample);
  template<typename Value>
  static Value Load(const std::atomic<Value>& aValue)
  {
    return aValue.load(std::memory_order_relaxed);
  }

  std::atomic<std::int32_t> m_streams{ 0 };
  std::atomic<std::int32_t> m_steps{ 0 };
  std::atomic<std::int32_t> m_positions{ 0 };
  std::atomic<std::int32_t> m_reservedTokens{ 0 };
  std::atomic<std::int32_t> m_pendingPrefillTokens{ 0 };
  std::atomic<std::int64_t> m_ejectedUntilNs{ 0 };
  std::atomic<std::uint32_t> m_ejectDoublings{ 0 };
  // Moving averages; a lost update between threads is harmless.
  std::atomic<std::int64_t> m_roundTripNs{ 0 };
  std::atomic<std::int64_t> m_positionNs{ 0 };
  std::atomic<std::int64_t> m_eventGapNs{ 0 };
  std::atomic<std::int64_t> m_eventGapAtNs{ 0 };
  std::atomic<double> m_slowdown{ 1.0 };
  std::atomic<std::int64_t> m_slowdownAtNs{ 0 };
  // When a step was last answered well; zero: never.
  std::atomic<std::int64_t> m_answeredAtNs{ 0 };
  // Since when nothing was answered while steps were out.
  std::atomic<std::int64_t> m_waitingSinceNs{ 0 };
  // Reported work that is not this process's own.
  std::atomic<std::int32_t> m_reportedOtherStreams{ 0 };
  // Zero: never reported.
  std::atomic<std::int64_t> m_reportedAtNs{ 0 };
  // Failures since the last success.
  std::atomic<std::uint32_t> m_failures{ 0 };
  // Zero: the circuit is closed.
  std::atomic<std::int64_t> m_openUntilNs{ 0 };
};

} // namespace parsleycove
