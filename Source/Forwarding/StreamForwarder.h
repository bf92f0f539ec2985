// Forwards requests whose answer is a stream of events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "Admission/PathTicket.h"
#include "Forwarding/EventSplitter.h"
#include "Forwarding/FirstRunners.h"
#include "Forwarding/ForwardedRequest.h"
#include "Forwarding/SilentCalls.h"

namespace parsleycove {

// Outcome of one attempt to send the request.
enum class AttemptOutcome
{
  // The answer is complete, or nothing more can be done for the caller.
  Finished,
  // The request did not run.
  NotExecuted,
  // The request may have run, and its answer broke off.
  Broken,
  // The endpoint or a stage is silent. The call is kept open until another
  // endpoint sends an event.
  Silent,
};

// Relays complete events as they arrive. Where the route allows it, a stream
// whose endpoint or path failed is resumed on another path within the same
// answer, after the last complete event. An endpoint that is only silent may
// go on by itself, so its call is kept until its successor sends an event; if
// nobody else serves the stream, the kept call is followed again.
//
// StreamForwarder.cxx selects paths and decides on retries, StreamTurn.cxx
// waits for a turn, StreamAttempt.cxx runs one attempt.
class StreamForwarder
{
public:
  explicit StreamForwarder(ForwardedRequest& aRequest);
  asio::awaitable<void> Run();

private:
  // Waits for what an attempt lacks: a path, or the retry budget. Returns false
  // if it did not come in time; the request has ended then.
  asio::awaitable<bool> WaitToStart(PathChoice aChoice);
  // Runs an attempt on aPath if it is not nullptr. Follows a silent call where
  // there is no path, where the silent call goes on, and where no further
  // attempt may follow.
  asio::awaitable<AttemptOutcome> StartOrFollow(StagePathPtr aPath);
  // Records that the attempt ended before its first event, and has its engine
  // probed: the prompt may have crashed the engine.
  void RecordUnanswered(const EndpointCall& aCall);
  // Chooses a path of this VM, or another VM where this VM reaches no endpoint
  // of the service.
  PathChoice ChoosePath();
  PathChoice ChooseOwnPath();
  // Handles a refusal by the VM that the request was passed on to.
  AttemptOutcome HandleHelperRefusal(EndpointCall& aCall,
                                     RefusalCause aCause,
                                     const AnswerHeaders& aHeaders);
  // Returns the cause of a refusal after engines refused the request.
  RefusalCause CauseAfterRefusals();
  // Waits for a path for a limited time: another engine loads the layers of a
  // failed engine within about a second, and a full path has capacity as soon
  // as a stream ends. Returns false when this time is over, and at once if the
  // engines asked for a longer pause or their limits allow no request.
  asio::awaitable<bool> WaitForPath(const PathChoice& aChoice);
  // Returns true if the request takes its turn among the requests that wait for
  // a path: it is new, and its service distinguishes levels of urgency. What
  // has been sent to an endpoint before never waits behind new requests.
  bool TakesTurns() const;
  // Returns true if the request may look for a path now.
  bool IsItsTurn();
  // Joins the queue while every path is full, and leaves it where the request
  // waits for something else. Returns false if the queue refuses the request.
  bool JoinQueue(const PathChoice& aChoice);
  // Ends the wait for a turn, since the first attempt starts.
  void RecordStart();
  // Returns GaveWay in place of PathsFull where more urgent requests took the
  // room, and names them in the request's detail. Other causes stay.
  RefusalCause NameGaveWay(RefusalCause aCause);
  // Waits until a stream that has relayed events can be resumed, since its
  // caller waits about two seconds for the next event. Meanwhile the retry
  // budget grows, and engines that refuse regain capacity. Returns false if the
  // stream cannot be resumed.
  asio::awaitable<bool> WaitToResume();
  bool MayRetry(AttemptOutcome aOutcome);
  // Charges the retry budget for an attempt that follows a sent one, unless the
  // next attempt is already charged. Returns false if nothing is left.
  bool ClaimRetry();
  // Returns true if the stream may move to another path now, and charges the
  // retry budget for the move.
  bool ClaimMove();
  // Returns true if the path starts at a first runner used before, or if the
  // route's limit allows another first runner. Runners known to have ended do
  // not count against the limit.
  bool MayStartAt(const StagePath& aPath) const;
  // Probes the first runners whose connection broke: one that has ended does
  // not count against the limit.
  void ProbeBroken();
  asio::awaitable<AttemptOutcome> RunAttempt(StagePathPtr aPath);
  // Receives the answer of a call until its end or until the call is suspended.
  asio::awaitable<AttemptOutcome> FollowCall(EndpointCallPtr aCall);
  // Ends the current call, since the silent endpoint goes on.
  void EndSuccessor();
  // Continues the call that was kept for its silence.
  asio::awaitable<AttemptOutcome> FollowSilentCall();
  void ReportUnreachable(const RunnerPtr& aFirst);
  asio::awaitable<AttemptOutcome> Receive(EndpointCall& aCall);
  AttemptOutcome HandleRefusal(EndpointCall& aCall,
                               const AnswerHeaders& aHeaders);
  asio::awaitable<AttemptOutcome> HandleErrorAnswer(EndpointCall& aCall);
  asio::awaitable<AttemptOutcome> RelayEvents(EndpointCall& aCall);
  // Returns false if the caller has disconnected.
  asio::awaitable<bool> RelayBytes(EndpointCall& aCall,
                                   std::string_view aBytes);
  // Records the time between two events, and whether it was a pause beyond the
  // event gap target.
  void RecordGap(const EndpointCall& aCall, Duration aGap);
  // Records an answer of every stage, since a token that arrived has passed all
  // stages.
  static void RecordProgress(const EndpointCall& aCall);
  AttemptOutcome RecordBrokenCall(EndpointCall& aCall);
  // Ends the request when no endpoint or no time is left. Refuses the request,
  // which promises that it did not run, only if no attempt can have run.
  asio::awaitable<void> GiveUp(RefusalCause aCause);
  ForwardedRequest& m_request;
  ForwardServices& m_services;
  ServiceRoutingState& m_serviceState;
  EventSplitter m_events;
  // Attempts that may have run: no endpoint has answered that they did not.
  std::uint32_t m_possibleExecutions = 0;
  std::size_t m_refusals = 0;
  // Attempts whose engine was lost before the first event.
  std::size_t m_unanswered = 0;
  // The request is a trial of a quarantined part, see MayTryParts().
  bool m_isTrial = false;
  // The request is passed on from now on.
  bool m_isPassedOn = false;
  // Why the VM that reaches the service refused the request. Not set for a
  // stream that has begun, which waits for another path or VM.
  std::optional<RefusalCause> m_helperCause;
  // The answer's header was sent to the caller.
  bool m_hasSentHeader = false;
  // The present attempt was counted as demand for engines with a limit.
  bool m_isDemandCounted = false;
  // End of the wait for a path.
  TimePoint m_pathWaitUntil{};
  // The first attempt has started.
  bool m_hasStarted = false;
  // Wakes the wait for a path; outlives the ticket, which cancels it.
  asio::steady_timer m_pathTimer;
  PathTicket m_ticket;
  // A retry was charged to the retry budget and has not started yet.
  bool m_hasRetryClaim = false;
  FirstRunners m_firstRunners;
  // Calls that were suspended for their silence, with the bytes of the event
  // that they were interrupted in.
  SilentCalls m_silentCalls;
  // A stream that came back to its silent endpoint does not move before this.
  TimePoint m_moveNotBefore{};
  // How long it stays there the next time.
  Duration m_stay;
  TimePoint m_lastEventAt{};
  // Path of the last event.
  StagePathPtr m_lastEventPath;
  CallEnd m_lastEnd = CallEnd::None;
};

asio::awaitable<void>
ForwardStream(ForwardedRequest& aRequest);

} // namespace parsleycove
