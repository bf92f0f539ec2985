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

#include "Forwarding/EndpointClient.h"
#include "Forwarding/ForwardCall.h"
#include "Forwarding/ForwardServices.h"
#include "Forwarding/ReportVerdict.h"
#include "Forwarding/StreamRerouter.h"

namespace parsleycove {

struct PathDoctorSettings
{
  // An engine is asked when no stream through it has moved for this many usual
  // gaps, and at least this long. Streams of one batch move together, so a
  // single gap says nothing.
  double m_askGaps = 1.7;
  Duration m_askAfter = std::chrono::milliseconds(40);
  // The same before a stream's first event, when its prompt is read.
  Duration m_askAfterSending = std::chrono::milliseconds(150);
  // Streams with gaps beyond this have a slow engine on their path: the
  // shortest pause target is 200 ms.
  Duration m_slowGap = std::chrono::milliseconds(90);
  Duration m_askSlowAgain = std::chrono::seconds(1);
  // Silence after which a stream goes elsewhere though all engines answered:
  // the connection itself must be silent. Under load a stream that waits would
  // only wait again elsewhere.
  int m_moveGaps = 12;
  Duration m_moveAfter = std::chrono::milliseconds(700);
  Duration m_moveAfterSending = std::chrono::milliseconds(2500);
  // A stream with a dead engine on its path goes elsewhere after this silence.
  Duration m_leaveDeadAfter = std::chrono::milliseconds(25);
  // An engine that does not answer in this time is dead; it answers without
  // a slot, and zones are about a millisecond apart.
  Duration m_answerTimeout = std::chrono::milliseconds(40);
  // An engine that answered is not asked again for this long.
  Duration m_askAgain = std::chrono::milliseconds(250);
  // How long a dead engine is avoided before it is asked again, doubled each
  // time up to the last figure.
  Duration m_avoid = std::chrono::milliseconds(500);
  Duration m_longestAvoid = std::chrono::seconds(4);
  // An engine without streams that has answered within this is not taken for
  // dead on another gateway's word.
  Duration m_ownEvidence = std::chrono::milliseconds(400);
  // How long such a word holds; a live engine announces itself within 1.2 s.
  Duration m_belief = std::chrono::milliseconds(1500);
  // A check that comes this late says that this process stood still itself.
  Duration m_ownPause = std::chrono::milliseconds(25);
};

// Invariant: an engine has at most one question under way.
class PathDoctor
{
public:
  PathDoctor(asio::io_context& aContext,
             const ForwardDialect& aDialect,
             DecisionLog& aLog,
             PathDoctorSettings aSettings = {});

  // The parts that are made after the doctor.
  void Attach(RoutingBoard& aBoard,
              ForwardMetrics& aMetrics,
              ActivityWatch& aWatch);

  // A stream under way; forgotten once it is gone.
  void Follow(const ForwardCallPtr& aStream);
  // Looks at all streams and at what other gateways reported; called at every
  // check of the watch, and by the upkeep while nothing is watched.
  void Check(TimePoint aNow);
  // An answer named this engine as the one at fault.
  void Accuse(TimePoint aNow, const RunnerPtr& aRunner, std::string_view aWhy);
  // It did not answer once; asks it.
  void Doubt(TimePoint aNow, const RunnerPtr& aRunner);
  RunnerPtr FindByAddress(std::string_view aAddress) const;

private:
  struct Patient
  {
    RunnerPtr m_runner;
    bool m_isAsked = false;
    TimePoint m_askedAt{};
    Duration m_avoid{};
    // As it said last; a slow engine is asked until it is not.
    double m_pace = 1;
    // Avoided for another gateway's word.
    bool m_isBelieved = false;
  };

  // What the streams through one engine show.
  struct Traffic
  {
    RunnerPtr m_runner;
    // Of streams that have begun.
    Duration m_usualGap{};
    bool m_hasBegun = false;
    // The oldest sending of a stream that has not begun.
    TimePoint m_waitingSince = TimePoint::max();
    bool m_isSlow = false;
  };

  void Gather(ForwardCall& aStream);
  // Silence that is more than a pause between two events.
  Duration Standstill(const Traffic& aTraffic) const;
  // When it answered last, or when this process could judge again.
  TimePoint MovedAt(const Runner& aRunner) const;
  // Avoids the engines that other gateways found dead, and leaves them.
  void TakeReports(TimePoint aNow);
  OwnEvidence EvidenceOf(TimePoint aNow, const Runner& aRunner) const;
  // Asks the engines whose time of being avoided is over. Also while no call is
  // under way: without a path there is none, and without an answer there would
  // be no path.
  void AskReturning(TimePoint aNow);
  void Examine(TimePoint aNow, const Traffic& aTraffic);
  void MoveIfSilent(TimePoint aNow, const ForwardCallPtr& aStream);
  static bool HasDeadStage(TimePoint aNow, const ForwardCall& aStream);
  void Ask(TimePoint aNow, const RunnerPtr& aRunner, Duration aNotWithin);
  asio::awaitable<CallResult> AskState(RunnerPtr aRunner,
                                       ConnectionChoice aChoice);
  asio::awaitable<void> Question(RunnerPtr aRunner);
  // Links between availability zones may lose packets, and an engine may have
  // closed a kept connection.
  bool IsWorthAnother(const CallResult& aResult, const Runner& aRunner) const;
  // Whether a missing answer says something of the engine: this process may
  // have stood still itself.
  bool IsJudgement(TimePoint aAskedAt, const CallResult& aResult) const;
  void NoteAlive(const RunnerPtr& aRunner, const EngineState& aState);
  // Takes the word of another gateway: asking would cost each of them a
  // question to each dead engine.
  void Believe(TimePoint aNow, const RunnerPtr& aRunner);
  void LogSuspected(const Runner& aRunner,
                    std::string_view aWhy,
                    Duration aAvoid);
  // Streams with a dead stage go elsewhere.
  void LeaveDead(TimePoint aNow);
  void NoteDead(TimePoint aNow,
                const RunnerPtr& aRunner,
                DeathEvidence aEvidence,
                std::string_view aWhy);

  asio::io_context& m_context;
  const ForwardDialect& m_dialect;
  DecisionLog& m_log;
  const PathDoctorSettings m_settings;
  RoutingBoard* m_board = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  ActivityWatch* m_watch = nullptr;
  EndpointClient m_client;
  StreamRerouter m_rerouter;
  std::vector<std::weak_ptr<ForwardCall>> m_streams;
  // By hash of the runner's id and its incarnation.
  std::unordered_map<std::uint64_t, Patient> m_patients;
  // By the same; made anew at every check.
  std::unordered_map<std::uint64_t, Traffic> m_traffic;
  // Silence before this time may be our own.
  TimePoint m_judgeFrom{};
};

} // namespace parsleycove
