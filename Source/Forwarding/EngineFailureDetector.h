// Detects failed and slow engines behind stalled streams.
//
// When one engine of a path fails or stops answering, every stream through that
// engine stalls. The engines' own time-out takes seconds; probing the engines
// of the path takes one round trip.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Forwarding/EndpointCall.h"
#include "Forwarding/EndpointClient.h"
#include "Forwarding/FailureReportDecision.h"
#include "Forwarding/ForwardServices.h"
#include "Forwarding/StreamRerouter.h"

namespace parsleycove {

class LimitExchange;
class ReachMonitor;

struct EngineFailureDetectorSettings
{
  // An engine is probed if no stream through the engine has progressed for this
  // many average arrival gaps, and for at least m_minProbeDelay. Streams of one
  // batch progress together, so silence of a single gap is no evidence.
  double m_probeAfterGaps = 1.7;
  Duration m_minProbeDelay = std::chrono::milliseconds(40);
  // Probe delay before a stream's first event, while the prompt is in prefill.
  Duration m_probeAfterSend = std::chrono::milliseconds(150);
  // A stream whose average gap exceeds this has a slow engine on its path: the
  // shortest event gap target is 200 ms.
  Duration m_slowGapThreshold = std::chrono::milliseconds(90);
  Duration m_slowProbeInterval = std::chrono::seconds(1);
  // Silence after which a stream moves to another path although all its engines
  // answered probes: then the connection itself is silent. The limit is long
  // because under load a moved stream would only wait again on the other path.
  int m_moveAfterGaps = 12;
  Duration m_minMoveDelay = std::chrono::milliseconds(700);
  Duration m_moveAfterSend = std::chrono::milliseconds(2500);
  // How long an engine that hangs although it answers probes is avoided. The
  // streams that wait for it move once their first event is overdue.
  Duration m_hungEjection = std::chrono::seconds(1);
  // Silence after which a stream with a failed engine on its path is moved.
  Duration m_leaveFailedAfter = std::chrono::milliseconds(25);
  // An engine that does not answer a probe within this time has failed: probes
  // need no engine slot, and availability zones are about 1 ms apart.
  Duration m_probeTimeout = std::chrono::milliseconds(40);
  // Minimum time between two probes caused by silence.
  Duration m_probeInterval = std::chrono::milliseconds(250);
  // Time for which the circuit of a failed engine stays open before the engine
  // is probed again; doubles with each failure up to m_maxCircuitOpenTime.
  Duration m_minCircuitOpenTime = std::chrono::milliseconds(500);
  Duration m_maxCircuitOpenTime = std::chrono::seconds(4);
  // How long an accepted failure report keeps the circuit open; a live engine
  // announces itself within 1.2 s.
  Duration m_reportValidity = std::chrono::milliseconds(1500);
  // A check that runs late by more than this shows that this process itself was
  // paused.
  Duration m_localPauseThreshold = std::chrono::milliseconds(25);
};

// Invariant: at most one probe per engine is in flight.
class EngineFailureDetector
{
public:
  EngineFailureDetector(asio::io_context& aContext,
                        const ForwardDialect& aDialect,
                        DecisionLog& aLog,
                        EngineFailureDetectorSettings aSettings = {});

  // Sets the components that are constructed after the failure detector.
  void Attach(RoutingState& aRouting,
              ForwardMetrics& aMetrics,
              DeadlineMonitor& aDeadlines,
              NoticeRecorder& aNotices,
              PromptPartReporter& aPromptParts,
              LimitExchange& aLimits,
              ReachMonitor& aReach);

  // Monitors a stream until its call ends.
  void TrackStream(const EndpointCallPtr& aStream);
  // Evaluates all streams and the failure reports of other gateways. Called at
  // every check of the deadline monitor, and by the periodic maintenance, which
  // also runs while the monitor has no waits.
  void Check(TimePoint aNow);
  // Records an engine as failed on certain evidence, for example a refused
  // connection.
  void ReportFailure(TimePoint aNow,
                     const RunnerPtr& aRunner,
                     std::string_view aWhy);
  // Probes an engine that timed out or refused a request, unless a probe ran
  // recently.
  void ReportUnresponsive(TimePoint aNow, const RunnerPtr& aRunner);
  // Probes an engine whose connection broke, also if a probe ran recently.
  void ReportBroken(TimePoint aNow, const RunnerPtr& aRunner);
  // Returns nullptr if the address is empty or unknown.
  RunnerPtr FindByAddress(std::string_view aAddress) const;

private:
  struct EngineHealth
  {
    RunnerPtr m_runner;
    bool m_isProbing = false;
    TimePoint m_probedAt{};
    Duration m_circuitOpenTime{};
    // Slowdown factor of the engine's last report. Engines above
    // kSlowdownToAvoid are probed until their factor falls below it.
    double m_slowdown = 1;
    // The circuit is open because of another gateway's failure report.
    bool m_isSuspectedByReport = false;
  };

  // Progress of the streams through one engine.
  struct StreamActivity
  {
    RunnerPtr m_runner;
    // Longest average of the streams that have received an event.
    Duration m_averageArrivalGap{};
    bool m_hasStartedStream = false;
    // When the oldest request without an event was sent.
    TimePoint m_unansweredSince = TimePoint::max();
    bool m_isSlow = false;
  };

  void CollectActivity(EndpointCall& aStream);
  // Silence that is too long to be a pause between two events.
  Duration StallThreshold(const StreamActivity& aActivity) const;
  // When the engine last answered, but no earlier than m_silenceValidFrom.
  TimePoint LastProgressAt(const Runner& aRunner) const;
  // Opens the circuits of engines that other gateways reported as failed, where
  // the local evidence agrees, and moves streams off these engines.
  void ApplyFailureReports(TimePoint aNow);
  LocalEvidence CollectEvidence(TimePoint aNow, const Runner& aRunner) const;
  // Probes engines whose open circuit has expired. Runs also while no call is
  // in flight: without a path there are no calls, and without a probe no path
  // would return.
  void ProbeSuspected(TimePoint aNow);
  // Has the listed engines without a closed circuit probed: an engine that was
  // missing from the list for a while comes back with its circuit as it was.
  void AdoptOpenCircuits(TimePoint aNow);
  void ProbeIfSilent(TimePoint aNow, const StreamActivity& aActivity);
  void MoveIfStalled(TimePoint aNow, const EndpointCallPtr& aStream);
  // Returns the silence after which the stream moves to another path although
  // no engine of its path is known to have failed. aHung: see FindHungStages().
  Duration MoveDelay(const EndpointCall& aStream,
                     const std::vector<RunnerPtr>& aHung) const;
  // Avoids engines that hang.
  void EjectHung(TimePoint aNow, const std::vector<RunnerPtr>& aHung);
  static bool HasFailedStage(TimePoint aNow, const EndpointCall& aStream);
  // Does nothing while a probe is in flight or if the last one started less
  // than aMinInterval ago.
  void StartProbe(TimePoint aNow,
                  const RunnerPtr& aRunner,
                  Duration aMinInterval);
  asio::awaitable<CallResult> FetchState(RunnerPtr aRunner,
                                         ConnectionChoice aChoice);
  asio::awaitable<void> Probe(RunnerPtr aRunner);
  // Returns true where a missing answer may be no fault of the engine: links
  // between availability zones lose packets, and an engine may have closed a
  // kept connection.
  bool ShouldRetryProbe(const CallResult& aResult, const Runner& aRunner) const;
  // Returns false if the answer may be missing because this process itself was
  // paused.
  bool IsConclusive(TimePoint aSentAt, const CallResult& aResult) const;
  void MarkAlive(const RunnerPtr& aRunner, const EngineState& aState);
  // Opens the circuit without a probe: otherwise every gateway would probe
  // every failed engine.
  void AcceptReport(TimePoint aNow, const RunnerPtr& aRunner);
  void LogSuspected(const Runner& aRunner,
                    std::string_view aWhy,
                    Duration aCircuitOpenTime);
  // Returns how many other endpoints have answered this VM lately.
  std::int64_t CountAnsweringOthers(const Runner& aRunner) const;
  // Moves stalled streams with a failed stage to other paths.
  void MoveOffFailed(TimePoint aNow);
  // Avoids an engine that an attempt begun at aSince did not reach, and reports
  // it as failed once a witness shows that this VM's links work.
  void MarkUnreached(TimePoint aNow,
                     TimePoint aSince,
                     const RunnerPtr& aRunner,
                     FailureEvidence aEvidence,
                     std::string_view aWhy);
  // Avoids an engine whose own answer shows that it has failed, and reports it.
  void MarkFailed(TimePoint aNow,
                  const RunnerPtr& aRunner,
                  std::string_view aWhy);
  void OpenCircuit(TimePoint aNow,
                   const RunnerPtr& aRunner,
                   std::string_view aWhy);

  asio::io_context& m_context;
  const ForwardDialect& m_dialect;
  DecisionLog& m_log;
  const EngineFailureDetectorSettings m_settings;
  RoutingState* m_routing = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  DeadlineMonitor* m_deadlines = nullptr;
  NoticeRecorder* m_notices = nullptr;
  PromptPartReporter* m_promptParts = nullptr;
  LimitExchange* m_limits = nullptr;
  ReachMonitor* m_reach = nullptr;
  EndpointClient m_client;
  StreamRerouter m_rerouter;
  std::vector<std::weak_ptr<EndpointCall>> m_streams;
  // Keyed by the hash of the runner's id and incarnation.
  std::unordered_map<std::uint64_t, EngineHealth> m_health;
  // The table whose engines were last adopted.
  boost::intrusive_ptr<const RunnerTable> m_adoptedTable;
  // Same key; rebuilt at every check.
  std::unordered_map<std::uint64_t, StreamActivity> m_activity;
  // Silence before this time is ignored, since this process may have been
  // paused.
  TimePoint m_silenceValidFrom{};
};

} // namespace parsleycove
