// One call that may not be repeated, from the ledger to the service and back.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Forwarding/AsyncSlot.h"
#include "Forwarding/ControlCalls.h"
#include "Forwarding/EndpointClient.h"
#include "Gateway/ApiError.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestTrace.h"
#include "Routing/Runner.h"

namespace parsleycove {

class Worker;

// What the caller is told: the service's answer, or an error.
struct ActionAnswer
{
  std::optional<state::StoredAnswerT> m_stored;
  std::optional<ApiError> m_error;
  // The answer was already in the ledger.
  bool m_isReplayed = false;
};

// What is to be run.
struct ActionCall
{
  std::string m_account;
  std::string m_key;
  std::string m_fingerprint;
  std::string m_service;
  bool m_serviceReportsNotRun = false;
  std::string m_method;
  std::string m_path; // as the service sees it, with the query
  std::string m_contentType;
  std::string m_body;
  std::string m_traceParent;
  TimePoint m_deadline{};
};

// Runs one action at most once.
//
// The order is: reserve the key, commit `Dispatched`, only then connect and
// send, and settle what came back. It goes on when the caller is gone, so that
// the ledger learns the outcome. Nothing is sent after the deadline.
class ActionExchange : public std::enable_shared_from_this<ActionExchange>
{
public:
  ActionExchange(const GatewayServices& aServices,
                 Worker& aWorker,
                 ActionCall aCall);

  // Starts the exchange on the worker and waits for the answer.
  asio::awaitable<ActionAnswer> RunAndWait();

private:
  asio::awaitable<void> Run();
  asio::awaitable<ActionAnswer> RunOwned(std::uint64_t aAttempt);
  asio::awaitable<ActionAnswer> SendAndSettle(std::uint64_t aAttempt,
                                              const Runner& aTarget);
  asio::awaitable<ActionAnswer> SettleResponse(std::uint64_t aAttempt,
                                               const HttpResponse& aResponse);
  // Waits for the outcome of an attempt that somebody else holds.
  asio::awaitable<ActionAnswer> Join();

  RunnerPtr ChooseServiceEndpoint();
  // Proposes with a span of its own.
  asio::awaitable<ProposeOutcome> ProposeUntil(state::CommandT aCommand,
                                               TimePoint aDeadline);
  // Commits that the attempt did not run and says so, or says unknown.
  asio::awaitable<ActionAnswer> Abandon(std::uint64_t aAttempt,
                                        bool aServiceWord,
                                        std::string aWhy,
                                        ApiErrorCode aCode);
  asio::awaitable<ActionAnswer> Doubt(std::uint64_t aAttempt, std::string aWhy);

  ActionAnswer AnswerFromRecord(const state::ActionRecordT& aRecord) const;
  ActionAnswer AnswerFromRefusal(const state::CommandResultT& aResult) const;
  ActionAnswer Unknown(std::string aWhy) const;
  HttpRequest MakeRequest(const Runner& aTarget,
                          const std::string& aTraceParent) const;
  std::uint64_t UnixMs() const { return m_services.m_clock.UnixMs(); }
  TimePoint Now() const { return m_services.m_clock.Now(); }

  const GatewayServices& m_services;
  Worker& m_worker;
  const ActionCall m_call;
  // The exchange may outlive its request, so its spans are kept apart.
  RequestTrace m_trace;
  AsyncSlot<ActionAnswer> m_answer;
};

} // namespace parsleycove
