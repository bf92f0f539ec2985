// Interface of the codec for request headers, answer headers and orders to
// engines.
//
// The names of headers belong to the deployment; the forwarding code uses only
// the decoded values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "Base/Clock.h"
#include "Routing/PathSelector.h"
#include "Routing/Runner.h"
#include "Wire/Http.h"

namespace parsleycove {

// Header fields of a caller's request. The views point into the request's
// header.
struct CallerHeaders
{
  // Unique for each attempt of a caller.
  std::string_view m_attemptId;
  // How long the caller waits for the answer; std::nullopt if not sent.
  std::optional<Duration> m_timeout;
  // Empty if none was sent.
  std::string_view m_apiKey;
  // The caller has received all events of the stream up to this one.
  std::optional<std::uint64_t> m_lastEventId;
  std::uint32_t m_promptTokens = 0;
  std::uint32_t m_maxAnswerTokens = 0;
  // The caller's estimate; 0 if none was sent.
  std::uint32_t m_expectedAnswerTokens = 0;
  // All parts of the prompt, as sent; empty if there is none.
  std::string_view m_prompt;
  // Ids of the parts of the prompt that other requests may have, too, in order;
  // the last part belongs to this request alone and is left out.
  std::vector<std::string_view> m_sharedParts;
};

// Header fields that a forwarded request carries in addition to the caller's.
struct ForwardHeaders
{
  Duration m_timeLeft{};
  const Runner* m_runner = nullptr;
  // nullptr if the runner serves the request alone.
  const StagePath* m_path = nullptr;
  // Empty if the request belongs to no client account.
  std::string_view m_account;
  // The caller has received a part of the answer and waits for the next event.
  bool m_isResumed = false;
  // Level of urgency, 0 is the most urgent; std::nullopt where all requests of
  // the service are equally urgent. A resumed request goes first at any level.
  std::optional<std::size_t> m_level;
  // The endpoint continues the stream after this event.
  std::optional<std::uint64_t> m_lastEventId;
};

struct EndpointLoad
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
};

// Header fields of an endpoint's answer.
struct AnswerHeaders
{
  std::string_view m_attemptId;
  // The endpoint vouches that the body is complete and its own result.
  bool m_isSigned = false;
  // The endpoint has not executed the request and never will.
  bool m_isNotExecuted = false;
  // Another endpoint has the address now, or a stage does not hold the layers
  // that the path assigns to it.
  bool m_isMisdirected = false;
  std::optional<EndpointLoad> m_load;
  // Address of the failed stage; empty unless it is another endpoint than the
  // answering one.
  std::string_view m_faultAddress;
  // The answering endpoint is about to end and wants no new work.
  bool m_isLeaving = false;
  // The endpoint wants nothing more from this gateway for so long; std::nullopt
  // if it did not refuse the request or did not ask for a pause.
  std::optional<Duration> m_pause;
  // Requests a second that the answering endpoint takes from all gateways
  // together, at least 0; std::nullopt if it names no limit.
  std::optional<double> m_requestLimit;
  // Name of a header that is given twice, unreadable or out of range; empty if
  // all are good. Such a header never keeps the answer from its caller.
  std::string_view m_unreadable;
};

// State that an engine reports about itself.
struct EngineState
{
  // Factor on the engine's usual times; 1 is normal.
  double m_slowdown = 1;
  // Incarnation of the answering engine; std::nullopt if not reported.
  std::optional<std::uint64_t> m_incarnation;
};

// Answer of a path's first engine to an order to continue on another path.
struct RerouteAnswer
{
  bool m_isAccepted = false;
  // Address of the engine that is missing or has no capacity left; empty if the
  // answer names none.
  std::string m_faultAddress;
};

class ForwardDialect
{
public:
  using Fields = boost::beast::http::fields;

  virtual ~ForwardDialect() = default;

  virtual CallerHeaders ParseCallerHeaders(const Fields& aFields) const = 0;
  // Returns true for a caller's header that is not forwarded unchanged.
  virtual bool IsReplacedHeader(std::string_view aName) const = 0;
  // Returns true for the header with the caller's key.
  virtual bool IsAccountHeader(std::string_view aName) const = 0;
  // Returns true for a header by which an endpoint tells the VM that called it
  // about its own state.
  virtual bool IsNoticeHeader(std::string_view aName) const = 0;
  // Appends the header lines of a forwarded request to aOut.
  virtual void WriteForwardHeaders(std::string& aOut,
                                   const ForwardHeaders& aHeaders) const = 0;
  virtual AnswerHeaders ParseAnswerHeaders(unsigned aStatus,
                                           const Fields& aFields) const = 0;
  // Returns true for a header that vouches for an endpoint's status and body.
  virtual bool IsSignatureHeader(std::string_view aName) const = 0;
  // Appends the header lines of an answer by the gateway itself to aOut.
  virtual void WriteAnswerHeaders(std::string& aOut,
                                  std::string_view aAttemptId) const = 0;
  // Returns true for a status that guarantees that the request was not executed
  // and never will be.
  virtual bool IsNotExecutedStatus(unsigned aStatus) const = 0;

  // Returns the URL path at which an engine reports its state.
  virtual std::string_view EngineStatePath() const = 0;
  // Returns std::nullopt if the body cannot be parsed.
  virtual std::optional<EngineState> ParseEngineState(
    std::string_view aBody) const = 0;

  // Builds the order to the first engine of aPath to generate the remaining
  // tokens of a request on that path.
  virtual HttpRequest MakeRerouteOrder(std::string_view aAttemptId,
                                       const StagePath& aPath) const = 0;
  virtual RerouteAnswer ParseRerouteAnswer(unsigned aStatus,
                                           std::string_view aBody) const = 0;
};

} // namespace parsleycove
