// Finds the dead stage behind silent streams.
//
// Pattern: one engine of a path dies or goes dark, and every stream through it
// stands still. Waiting for the engines' own time-out costs seconds; asking
// the engines of the path costs a round trip.
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

struct EngineFailureDetectorSettings
{
  // An engine is asked when no stream through it has moved for this many usual
  // gaps, and at least this long. Streams of one batch move together, so a
  // single gap says nothing.
  double m_probeAfterGaps = 1.7;
  Duration m_minProbeDelay = std::chrono::milliseconds(40);
  // The same before a stream's first event, when its prompt is read.
  Duration m_probeAfterSend = std::chrono::milliseconds(150);
  // Streams with gaps beyond this have a slow engine on their path: the
  // shortest pause target is 200 ms.
  Duration m_slowGapThreshold = std::chrono::milliseconds(90);
  Duration m_slowProbeInterval = std::chrono::seconds(1);
  // Silence after which a stream goes elsewhere though all engines answered:
  // the connection itself must be silent. Under load a stream that waits would
  // only wait again elsewhere.
  int m_moveAfterGaps = 12;
  Duration m_minMoveDelay = std::chrono::milliseconds(700);
  Duration m_moveAfterSend = std::chrono::milliseconds(2500);
  // A stream with a dead engine on its path goes elsewhere after this silence.
  Duration m_leaveFailedAfter = std::chrono::milliseconds(25);
  // An engine that does not answer in this time is dead; it answers without
  // a slot, and zones are about a millisecond apart.
  Duration m_probeTimeout = std::chrono::milliseconds(40);
  // An engine that answered is not asked again for this long.
  Duration m_probeInterval = std::chrono::milliseconds(250);
  // How long a dead engine is avoided before it is asked again, doubled each
  // time up to the last figure.
  Duration m_avoid = std::chrono::milliseconds(500);
  Duration m_maxCircuitOpenTime = std::chrono::seconds(4);
  // An engine without streams that has answered within this is not taken for
  // dead on another gateway's word.
  Duration m_recentAnswerWindow = std::chrono::milliseconds(400);
  // How long such a word holds; a live engine announces itself within 1.2 s.
  Duration m_reportValidity = std::chrono::milliseconds(1500);
  // A check that comes this late says that this process stood still itself.
  Duration m_localPauseThreshold = std::chrono::milliseconds(25);
};

// Invariant: an engine has at most one question under way.
class EngineFailureDetector
{
public:
  EngineFailureDetector(asio::io_context& aContext,
                        const ForwardDialect& aDialect,
                        DecisionLog& aLog,
                        EngineFailureDetectorSettings aSettings = {});

  // The parts that are made after the doctor.
  void Attach(RoutingState& aRouting,
              ForwardMetrics& aMetrics,
              DeadlineMonitor& aDeadlines);

  // A stream under way; forgotten once it is gone.
  void TrackStream(const EndpointCallPtr& aStream);
  // Looks at all streams and at what other gateways reported; called at every
  // check of the watch, and by the upkeep while nothing is watched.
  void Check(TimePoint aNow);
  // An answer named this engine as the one at fault.
  void ReportFailure(TimePoint aNow,
                     const RunnerPtr& aRunner,
                     std::string_view aWhy);
  // It did not answer once; asks it.
  void ReportUnresponsive(TimePoint aNow, const RunnerPtr& aRunner);
  RunnerPtr FindByAddress(std::string_view aAddress) const;

private:
  struct EngineHealth
  {
    RunnerPtr m_runner;
    bool m_isProbing = false;
    TimePoint m_probedAt{};
    Duration m_avoid{};
    // As it said last; a slow engine is asked until it is not.
    double m_pace = 1;
    // Avoided for another gateway's word.
    bool m_isSuspectedByReport = false;
  };

  // What the streams through one engine show.
  struct StreamActivity
  {
    RunnerPtr m_runner;
    // Of streams that have begun.
    Duration m_averageArrivalGap{};
    bool m_hasStartedStream = false;
    // The oldest sending of a stream that has not begun.
    TimePoint m_unansweredSince = TimePoint::max();
    bool m_isSlow = false;
  };

  void CollectActivity(EndpointCall& aStream);
  // Silence that is more than a pause between two events.
  Duration StallThreshold(const StreamActivity& aActivity) const;
  // When it answered last, or when this process could judge again.
  TimePoint LastProgressAt(const Runner& aRunner) const;
  // Avoids the engines that other gateways found dead, and leaves them.
  void ApplyFailureReports(TimePoint aNow);
  LocalEvidence CollectEvidence(TimePoint aNow, const Runner& aRunner) const;
  // Asks the engines whose time of being avoided is over. Also while no call is
  // under way: without a path there is none, and without an answer there would
  // be no path.
  void ProbeSuspected(TimePoint aNow);
  void ProbeIfSilent(TimePoint aNow, const StreamActivity& aActivity);
  void MoveIfStalled(TimePoint aNow, const EndpointCallPtr& aStream);
  static bool HasFailedStage(TimePoint aNow, const EndpointCall& aStream);
  void StartProbe(TimePoint aNow,
                  const RunnerPtr& aRunner,
                  Duration aMinInterval);
  asio::awaitable<CallResult> FetchState(RunnerPtr aRunner,
                                         ConnectionChoice aChoice);
  asio::awaitable<void> Probe(RunnerPtr aRunner);
  // Links between availability zones may lose packets, and an engine may have
  // closed a kept connection.
  bool ShouldRetryProbe(const CallResult& aResult, const Runner& aRunner) const;
  // Whether a missing answer says something of the engine: this process may
  // have stood still itself.
  bool IsConclusive(TimePoint aSentAt, const CallResult& aResult) const;
  void MarkAlive(const RunnerPtr& aRunner, const EngineState& aState);
  // Takes the word of another gateway: asking would cost each of them a
  // question to each dead engine.
  void AcceptReport(TimePoint aNow, const RunnerPtr& aRunner);
  void LogSuspected(const Runner& aRunner,
                    std::string_view aWhy,
                    Duration aCircuitOpenTime);
  // Streams with a dead stage go elsewhere.
  void MoveOffFailed(TimePoint aNow);
  void MarkFailed(TimePoint aNow,
                  const RunnerPtr& aRunner,
                  FailureEvidence aEvidence,
                  std::string_view aWhy);

  asio::io_context& m_context;
  const ForwardDialect& m_dialect;
  DecisionLog& m_log;
  const EngineFailureDetectorSettings m_settings;
  RoutingState* m_routing = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  DeadlineMonitor* m_deadlines = nullptr;
  EndpointClient m_client;
  StreamRerouter m_rerouter;
  std::vector<std::weak_ptr<EndpointCall>> m_streams;
  // By hash of the runner's id and its incarnation.
  std::unordered_map<std::uint64_t, EngineHealth> m_health;
  // By the same; made anew at every check.
  std::unordered_map<std::uint64_t, StreamActivity> m_activity;
  // Silence before this time may be our own.
  TimePoint m_silenceValidFrom{};
};

} // namespace parsleycove
