// How requests and answers are marked on the wire.
//
// The names of headers belong to the deployment; forwarding knows only what
// they mean.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "Base/Clock.h"
#include "Routing/PathSelector.h"
#include "Routing/Runner.h"
#include "Wire/Http.h"

namespace parsleycove {

// What a caller says of a request. Views point into the request's header.
struct CallerHeaders
{
  // Unique for each attempt of a caller.
  std::string_view m_attemptId;
  // How long the caller will wait.
  std::optional<Duration> m_timeout;
  // Empty: none was sent.
  std::string_view m_apiKey;
  // The caller has this event and those before it.
  std::optional<std::uint64_t> m_lastEventId;
  std::uint32_t m_promptTokens = 0;
  std::uint32_t m_maxAnswerTokens = 0;
  // The caller's guess; 0: none.
  std::uint32_t m_expectedAnswerTokens = 0;
};

// What an endpoint is told beside the caller's own header.
struct ForwardHeaders
{
  Duration m_timeLeft{};
  const Runner* m_runner = nullptr;
  // Null: the runner serves the request alone.
  const StagePath* m_path = nullptr;
  // Empty: none.
  std::string_view m_account;
  // The caller has had a part of the answer and waits for the next event.
  bool m_isResumed = false;
  // Go on after this event.
  std::optional<std::uint64_t> m_lastEventId;
};

struct EndpointLoad
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
};

// What an endpoint's answer says of itself.
struct AnswerHeaders
{
  std::string_view m_attemptId;
  // The body is the endpoint's own, whole work.
  bool m_isSigned = false;
  // The request has not run and never will.
  bool m_isNotExecuted = false;
  // Another endpoint has the address, or a stage does not hold its layers.
  bool m_isMisdirected = false;
  std::optional<EndpointLoad> m_load;
  // Address of the stage that failed, where it was another one.
  std::string_view m_faultAddress;
};

// What an engine says of its state.
struct EngineState
{
  // Factor on its usual times; 1 is normal.
  double m_slowdown = 1;
  // The incarnation that answers; nothing where it did not say.
  std::optional<std::uint64_t> m_incarnation;
};

// What the first engine of a path says to an order to take another one.
struct RerouteAnswer
{
  bool m_isAccepted = false;
  // Address of the engine that is not there or has no room; empty: none.
  std::string m_faultAddress;
};

class ForwardDialect
{
public:
  using Fields = boost::beast::http::fields;

  virtual ~ForwardDialect() = default;

  virtual CallerHeaders ParseCallerHeaders(const Fields& aFields) const = 0;
  // Headers of the caller that are not passed on as they are.
  virtual bool IsReplacedHeader(std::string_view aName) const = 0;
  // Appends header lines.
  virtual void WriteForwardHeaders(std::string& aOut,
                                   const ForwardHeaders& aHeaders) const = 0;
  virtual AnswerHeaders ParseAnswerHeaders(unsigned aStatus,
                                           const Fields& aFields) const = 0;
  // A header that vouches for an endpoint's status and body.
  virtual bool IsSignatureHeader(std::string_view aName) const = 0;
  // Appends header lines of an answer of our own.
  virtual void WriteAnswerHeaders(std::string& aOut,
                                  std::string_view aAttemptId) const = 0;
  // A status by which an answer promises that the request never runs.
  virtual bool IsNotExecutedStatus(unsigned aStatus) const = 0;

  // Path at which an engine tells its state.
  virtual std::string_view EngineStatePath() const = 0;
  virtual std::optional<EngineState> ParseEngineState(
    std::string_view aBody) const = 0;

  // The order to the first engine of aPath to run a request's further tokens
  // on that path.
  virtual HttpRequest MakeRerouteOrder(std::string_view aAttemptId,
                                       const StagePath& aPath) const = 0;
  virtual RerouteAnswer ParseRerouteAnswer(unsigned aStatus,
                                           std::string_view aBody) const = 0;
};

} // namespace parsleycove
