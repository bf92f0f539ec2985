// Forwards a request whose answer is a series of events.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Forwarding/EventSplitter.h"
#include "Forwarding/ForwardedRequest.h"

namespace parsleycove {

// What became of one sending.
enum class AttemptOutcome
{
  // The answer is complete, or nothing more can be done for the caller.
  Finished,
  // Never ran.
  NotExecuted,
  // Ran, and broke off.
  Broken,
};

// Whole events are passed on as they come. Where the route allows it, a stream
// whose endpoint or path broke goes on at another one within the same answer,
// after the last whole event.
//
// StreamForwarder.cxx decides where a request goes next, StreamRun.cxx follows
// one sending.
class StreamForwarder
{
public:
  explicit StreamForwarder(ForwardedRequest& aRequest);
  asio::awaitable<void> Run();

private:
  PathChoice ChoosePath();
  // Paths come back within about a second: an engine loads the layers of one
  // that was lost. A full path has room as soon as a stream ends. False once
  // that has been waited for.
  asio::awaitable<bool> WaitForPath(bool aIsFull);
  // A caller who has had events waits about two seconds for the next one. The
  // budget grows meanwhile, and engines that refuse get room.
  asio::awaitable<bool> WaitToResume();
  bool MayRetry(AttemptOutcome aOutcome);
  // Whether the stream may go to another path now; takes what that needs.
  bool ClaimMove();
  // Runners that have run the request and are still there count against the
  // route's limit; a path may begin at one of them again.
  bool MayStartAt(const StagePath& aPath) const;
  asio::awaitable<AttemptOutcome> RunAttempt(StagePathPtr aPath);
  void ReportUnreachable(const RunnerPtr& aFirst);
  asio::awaitable<AttemptOutcome> Receive(EndpointCall& aCall);
  AttemptOutcome HandleRefusal(EndpointCall& aCall,
                               const AnswerHeaders& aHeaders);
  asio::awaitable<AttemptOutcome> HandleErrorAnswer(EndpointCall& aCall);
  asio::awaitable<AttemptOutcome> RelayEvents(EndpointCall& aCall);
  // False when the caller is gone.
  asio::awaitable<bool> RelayBytes(EndpointCall& aCall,
                                   std::string_view aBytes);
  // A token that came has passed every stage.
  static void RecordProgress(const EndpointCall& aCall);
  AttemptOutcome RecordBrokenCall(EndpointCall& aCall);
  // No endpoint is left, or no time. The promise of a refusal is given only if
  // nothing can have run.
  asio::awaitable<void> GiveUp(RefusalCause aCause);
  ForwardedRequest& m_request;
  ForwardServices& m_services;
  ServiceRoutingState& m_serviceState;
  EventSplitter m_events;
  // Sendings that no endpoint has shown to be without effect.
  std::uint32_t m_possibleExecutions = 0;
  std::size_t m_refusals = 0;
  // The header of the first run has gone out.
  bool m_hasSentHeader = false;
  // End of the wait for a path.
  TimePoint m_pathWaitUntil{};
  // A repeat has been paid for.
  bool m_hasRetryClaim = false;
  // First runners of the runs, but for those that have ended.
  std::vector<std::string> m_usedFirstRunners;
  TimePoint m_lastEventAt{};
  CallEnd m_lastEnd = CallEnd::None;
};

asio::awaitable<void>
ForwardStream(ForwardedRequest& aRequest);

} // namespace parsleycove
