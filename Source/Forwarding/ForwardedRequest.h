// State and answers of one attempt of a caller, from its arrival to its end.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Forwarding/CallerConnection.h"
#include "Forwarding/EndpointCall.h"
#include "Forwarding/ForwardServices.h"
#include "Forwarding/PassedOnHeader.h"
#include "Forwarding/RefusalCause.h"
#include "Routing/RoutingConfig.h"

namespace parsleycove {

// A request, its routing decision and its outcome.
//
// Invariant: m_route and m_account point into m_config, which keeps them alive.
struct ForwardedRequest
{
  ForwardServices& m_services;
  CallerConnectionPtr m_caller;
  boost::intrusive_ptr<const RoutingConfig> m_config;
  const RouteRule* m_route = nullptr;
  const AccountRule* m_account = nullptr;
  std::string m_service;
  // Level of urgency; std::nullopt where all requests of the service are
  // equally urgent.
  std::optional<std::size_t> m_level;
  CallerHeaders m_headers;
  TimePoint m_arrival;
  TimePoint m_deadline;
  // See IdentifyRequest(); empty until the route and the account are known.
  std::string m_identity;

  // Set if another VM passed the request on to this one.
  std::optional<PassedOnHeader> m_passedOn;

  // Outcome of the request, for the log.
  RequestEnd m_end = RequestEnd::Failed;
  unsigned m_status = 0;
  unsigned m_attempts = 0;
  // The request counts as one for the retry budget of the service.
  bool m_isCounted = false;
  unsigned m_resumes = 0;
  std::string m_lastEndpoint;
  // Why the last attempt to send the request failed; empty if none failed.
  // Refers to a string literal.
  std::string_view m_lastFault;
  std::string m_why;
  // Reason given by another component, such as the control group; may be empty.
  std::string m_detail;
  // The part of this request that crashes endpoints; empty if none is known.
  std::string m_crashingPart;
  // Why an answer that had begun was cut; empty otherwise. Refers to a string
  // literal.
  std::string_view m_cutCause;
  // Time from the last event to the cut.
  Duration m_silentFor{};
  Duration m_firstAnswerDelay{};
  Duration m_longestGap{};
  // Pauses beyond the event gap target in which the stream moved to another
  // path, and in which it kept its path.
  unsigned m_pausesMoved = 0;
  unsigned m_pausesInPlace = 0;
  // Path of the last attempt; null for plain requests.
  StagePathPtr m_path;
  std::vector<std::string> m_excluded;
  // Utilization of the last path that was considered.
  PathUtilization m_utilization;
  // Tokens of a stream's prompt and expected answer; 0 for plain requests.
  std::uint32_t m_expectedTokens = 0;
  // When an endpoint takes new work again, after its pause or by its limit, or
  // the clock's epoch.
  TimePoint m_availableAt{};
  // The call in flight, which is aborted when the caller disconnects.
  EndpointCallPtr m_call;

  const HttpRequest& Http() const { return m_caller->Request(); }
  // Returns what may crash endpoints: the parts of the prompt that other
  // requests may have, too, and the request as a whole.
  std::vector<std::string_view> Parts() const;
  // Returns when the request has to be answered: at its own deadline or when
  // this VM ends its work, whichever is first.
  TimePoint Deadline() const
  {
    return std::min(m_deadline, m_services.m_drain.WorkDeadline());
  }
  Duration TimeLeft() const { return Deadline() - BootClock::now(); }
  bool IsOutOfTime() const { return TimeLeft() <= Duration::zero(); }
  // Returns why the request may not be sent now; std::nullopt if it may.
  // aMayHaveRun: an endpoint may have executed the request already, so that it
  // cannot be refused any more.
  std::optional<RefusalCause> CauseNotToSend(bool aMayHaveRun) const;
};

// Returns the header of the request that is sent to an endpoint, or to the VM
// that takes the request over if aHeaders.m_runner is one.
std::string
MakeForwardHeader(const ForwardedRequest& aRequest,
                  const ForwardHeaders& aHeaders);

// Returns the cause if the answer is a refusal by the VM that the request was
// passed on to.
std::optional<RefusalCause>
ReadHelperRefusal(const EndpointCall::Header& aAnswer);

// Returns true if a VM that refused for this cause cannot serve the request
// itself, so that another VM may.
bool
IsHelperFault(RefusalCause aCause);

// Returns true if the answer belongs to another request. An error without an id
// is taken for the answer to this request; a refusal only if no earlier request
// on the connection can have caused it.
bool
IsForeignAnswer(const ForwardedRequest& aRequest,
                const EndpointCall& aCall,
                const AnswerHeaders& aHeaders);

// Returns true if the request is to be passed on to another VM, because this VM
// reaches no endpoint of its service. A request that was passed on to this VM
// is not passed on again.
bool
MustPassOn(const ForwardedRequest& aRequest);

// Returns the header of an endpoint's answer for the caller, without the
// signature if aStatus differs from the endpoint's status. A negative length
// starts a chunked body.
std::string
MakeAnswerHeader(const ForwardedRequest& aRequest,
                 unsigned aStatus,
                 const EndpointCall::Header& aAnswer,
                 std::int64_t aLength);

// Writes a part of an endpoint's answer to the caller. Closes the connection if
// the answer is refused meanwhile, so that a caller that does not read holds no
// memory. Returns false if the bytes could not be written.
asio::awaitable<bool>
WriteAnswer(ForwardedRequest& aRequest,
            EndpointCall& aCall,
            std::string aBytes,
            Duration aTimeout);

// Returns how a request ends after WriteAnswer() returned false.
RequestEnd
EndOfUnwritten(ForwardedRequest& aRequest, const EndpointCall& aCall);

// Returns an answer made by this gateway. Retry-After is left out if
// aRetryAfter is zero.
std::string
MakeGatewayAnswer(const ForwardedRequest& aRequest,
                  unsigned aStatus,
                  std::string_view aText,
                  Duration aRetryAfter);

// Answers that the request was not run, and after which time to retry.
asio::awaitable<void>
Refuse(ForwardedRequest& aRequest, RefusalCause aCause);

// Returns true if no part of the request crashes endpoints, or if the request
// may try such a part; then aIsTrial is set, and the request is sent once only.
// Sets the detail and the time of the refusal otherwise.
asio::awaitable<bool>
MayTryParts(ForwardedRequest& aRequest, bool& aIsTrial);

// Returns the cause of a refusal after MayTryParts().
RefusalCause
CauseOfParts(const ForwardedRequest& aRequest);

// Answers with an error of the caller, or with a failure that does not tell
// whether the request ran.
asio::awaitable<void>
Fail(ForwardedRequest& aRequest, unsigned aStatus, std::string aWhy);

// Connects and sends the request, which counts for the limits of all endpoints
// of its path. Returns nullptr if no byte was sent. Sets
// aRequest.m_call. Counts and logs the attempt as a retry if an earlier attempt
// was sent; only here is it certain that the retry is sent.
asio::awaitable<EndpointCallPtr>
StartCall(ForwardedRequest& aRequest,
          RunnerPtr aRunner,
          StagePathPtr aPath,
          ForwardHeaders aHeaders,
          Duration aConnectTimeout);

std::string_view
NameOfEnd(CallEnd aEnd);

std::string_view
NameOfCause(RefusalCause aCause);

} // namespace parsleycove
