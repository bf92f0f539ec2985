// Tracks load and health of one endpoint, as far as this process knows them.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Base/Clock.h"
#include "Routing/EndpointNotice.h"
#include "Routing/RequestQuota.h"
#include "Routing/RequestRate.h"

namespace parsleycove {

// State of the endpoint's circuit breaker.
//
// Closed: work flows. Open: the endpoint gets no work. HalfOpen: one probe may
// try the endpoint again.
enum class CircuitState
{
  Closed,
  Open,
  HalfOpen,
};

// Load and health of one endpoint id and incarnation, shared by all threads.
//
// Counts of this process are exact; load from replies and reports is a hint
// that loses weight with its age.
class RunnerLoad : public boost::intrusive_ref_counter<RunnerLoad>
{
public:
  // Counts a stream or call that was assigned to the endpoint or has left it.
  void AddStream() { m_streams.fetch_add(1, std::memory_order_relaxed); }
  void RemoveStream() { m_streams.fetch_sub(1, std::memory_order_relaxed); }

  // Every StartStep is followed by exactly one FinishStep or AbandonStep.
  void StartStep(std::uint32_t aPositions);
  // Records a successful reply; aExpected is the step time that was predicted
  // when the step was sent.
  void FinishStep(TimePoint aNow,
                  std::uint32_t aPositions,
                  Duration aTaken,
                  Duration aExpected);
  void AbandonStep(std::uint32_t aPositions);

  // Records that a step is being sent; called before its StartStep.
  void RecordSend(TimePoint aNow);
  // Returns true if steps are outstanding and no answer has come for several
  // round trips.
  bool IsUnresponsive(TimePoint aNow) const;
  // Returns true if a step was answered successfully after aTime.
  bool HasAnsweredSince(TimePoint aTime) const;

  // Returns the time of the last answer, or the clock's epoch if there was
  // none.
  TimePoint AnsweredAt() const
  {
    return TimePoint(Duration(Load(m_answeredAtNs)));
  }

  // Records the load from a reply or a report.
  void RecordReport(TimePoint aNow,
                    std::uint32_t aQueued,
                    std::uint32_t aRunning);
  // Counts a failure; consecutive failures open the circuit for a growing time.
  void RecordFailure(TimePoint aNow);

  // Counts a step that was sent at aSentAt and got no answer. If no other step
  // was answered since then, the circuit opens at once.
  void RecordTimeout(TimePoint aNow, TimePoint aSentAt);

  CircuitState Circuit(TimePoint aNow) const;
  // Claims the single probe of a half-open circuit. Returns true if the caller
  // may send work, also if the circuit is closed.
  bool ClaimProbe(TimePoint aNow);

  // Adds to the KV cache memory that this process has assigned to requests, in
  // tokens; a negative value releases it.
  void ReserveTokens(std::int32_t aTokens)
  {
    m_reservedTokens.fetch_add(aTokens, std::memory_order_relaxed);
  }
  std::int32_t ReservedTokens() const { return Load(m_reservedTokens); }
  // Adds to the prompt tokens that this process has sent to the endpoint as the
  // first engine of a path and that have no answer yet; a negative value
  // removes them.
  void AddPendingPrefill(std::int32_t aTokens)
  {
    m_pendingPrefillTokens.fetch_add(aTokens, std::memory_order_relaxed);
  }
  std::int32_t PendingPrefillTokens() const
  {
    return Load(m_pendingPrefillTokens);
  }
  // Opens the circuit for this long, regardless of earlier failures.
  void OpenCircuitFor(TimePoint aNow, Duration aFor);
  // Outlier ejection: the endpoint refuses new work for now, while its present
  // work continues. Refusals that follow one another double the time, up to
  // eight times its length.
  void EjectFor(TimePoint aNow, Duration aFor);
  bool IsEjected(TimePoint aNow) const
  {
    return aNow.time_since_epoch().count() < Load(m_ejectedUntilNs);
  }
  // Returns true during a pause, an ejection or an open circuit.
  bool IsAvoided(TimePoint aNow) const
  {
    return m_notice.IsPaused(aNow) || IsEjected(aNow) ||
           Circuit(aNow) == CircuitState::Open;
  }
  // Closes the circuit, because the endpoint has shown that it is alive.
  void CloseCircuit(TimePoint aNow);
  // Forgets the failures so far, because they were not the endpoint's.
  void ResetCircuit();
  // Records that the endpoint answered; leaves the circuit as it is.
  void RecordAnswer(TimePoint aNow)
  {
    m_answeredAtNs.store(aNow.time_since_epoch().count(),
                         std::memory_order_relaxed);
  }
  // Records that this VM reached the endpoint, or that an attempt begun at
  // aSince did not: the connection was refused, broken or without an answer in
  // time.
  void RecordReached(TimePoint aNow);
  void RecordUnreached(TimePoint aSince);
  // Returns when this VM last reached the endpoint, by a connection or by an
  // answer, or the clock's epoch.
  TimePoint ReachedAt() const
  {
    return std::max(TimePoint(Duration(Load(m_reachedAtNs))), AnsweredAt());
  }
  // Returns when the last attempt that failed began, or the clock's epoch.
  TimePoint UnreachedAt() const
  {
    return TimePoint(Duration(Load(m_unreachedAtNs)));
  }
  // Records that the endpoint refused a connection.
  void RecordRefused(TimePoint aNow);
  // Returns true if the endpoint refused a connection and was not reached
  // since.
  bool IsRefusing() const
  {
    return TimePoint(Duration(Load(m_refusedAtNs))) > ReachedAt();
  }
  // Records that a later start answers at the endpoint's address.
  void RecordStartedAgain()
  {
    m_hasStartedAgain.store(true, std::memory_order_relaxed);
  }
  bool HasStartedAgain() const { return Load(m_hasStartedAgain); }
  // Records the time between two consecutive events of a stream whose path
  // begins at this engine.
  void RecordEventGap(TimePoint aNow, Duration aGap);
  // Returns the moving average of the event gap, or zero if no recent gap is
  // known.
  Duration EventGap(TimePoint aNow) const;
  // Records that an event has passed this engine as a stage of a path.
  void RecordEvent(TimePoint aNow)
  {
    m_eventAtNs.store(aNow.time_since_epoch().count(),
                      std::memory_order_relaxed);
  }
  // Returns when an event last passed this engine, or the clock's epoch.
  // Answers to probes do not count.
  TimePoint EventAt() const { return TimePoint(Duration(Load(m_eventAtNs))); }
  // Records the slowdown factor that the endpoint reports: its work takes this
  // many times as long.
  void RecordSlowdown(TimePoint aNow, double aSlowdown);

  // What the endpoint has said about taking new work.
  // Requests that this gateway sends to the endpoint, also as a stage of a
  // path. Used by the thread of a ForwardGateway only.
  RequestRate& SentRequests() { return m_sentRequests; }
  // What this gateway may still send to an endpoint that has named a limit.
  // Used by the thread of a ForwardGateway only.
  RequestQuota& Quota() { return m_quota; }

  EndpointNotice& Notice() { return m_notice; }
  const EndpointNotice& Notice() const { return m_notice; }

  std::int32_t Streams() const { return Load(m_streams); }
  std::int32_t Steps() const { return Load(m_steps); }
  std::int32_t Positions() const { return Load(m_positions); }
  // Returns the estimated streams of all gateways: those of this process plus
  // those that reports attribute to others, weighted by the age of the report.
  // aHalfLifeSeconds: about the time that work stays at the endpoint.
  double EstimateStreams(TimePoint aNow, double aHalfLifeSeconds = 0.5) const;
  // Returns the slowdown factor, observed over predicted step time; 1 if
  // nothing is known.
  double Slowdown(TimePoint aNow) const;
  // Returns zero until a step has been answered.
  Duration RoundTrip() const { return Duration(Load(m_roundTripNs)); }
  Duration ServicePerPosition() const { return Duration(Load(m_positionNs)); }

private:
  void AddSlowdownSample(TimePoint aNow, double aSample);
  template<typename Value>
  static Value Load(const std::atomic<Value>& aValue)
  {
    return aValue.load(std::memory_order_relaxed);
  }

  EndpointNotice m_notice;
  RequestRate m_sentRequests;
  RequestQuota m_quota;
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
  // Zero if there was none.
  std::atomic<std::int64_t> m_eventAtNs{ 0 };
  std::atomic<double> m_slowdown{ 1.0 };
  std::atomic<std::int64_t> m_slowdownAtNs{ 0 };
  // Time of the last answer; zero if there was none.
  std::atomic<std::int64_t> m_answeredAtNs{ 0 };
  // Zero if there was none.
  std::atomic<std::int64_t> m_reachedAtNs{ 0 };
  std::atomic<std::int64_t> m_unreachedAtNs{ 0 };
  std::atomic<std::int64_t> m_refusedAtNs{ 0 };
  std::atomic<bool> m_hasStartedAgain{ false };
  // Time since which no answer has come while steps were outstanding.
  std::atomic<std::int64_t> m_waitingSinceNs{ 0 };
  // Reported streams that do not belong to this process.
  std::atomic<std::int32_t> m_reportedOtherStreams{ 0 };
  // Zero if no report has come.
  std::atomic<std::int64_t> m_reportedAtNs{ 0 };
  // Failures since the last success.
  std::atomic<std::uint32_t> m_failures{ 0 };
  // Zero if the circuit is closed.
  std::atomic<std::int64_t> m_openUntilNs{ 0 };
};

} // namespace parsleycove
