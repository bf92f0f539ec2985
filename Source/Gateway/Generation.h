// Drives the state machine of one generation against real engines.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "Gateway/CallerGate.h"
#include "Gateway/StepChannel.h"
#include "Routing/Chain.h"
#include "Routing/StreamStateMachine.h"

namespace parsleycove {

class RequestTrace;
class Worker;
struct GatewayServices;

// Where the tokens of a generation go.
class TokenSink
{
public:
  virtual ~TokenSink() = default;
  // Takes the next token; false when the caller is gone.
  virtual asio::awaitable<bool> Take(const EmitToken& aToken) = 0;
};

struct GenerationRequest
{
  std::string m_model;
  std::string m_prompt;
  std::uint32_t m_maxTokens = 0;
  std::uint64_t m_seed = 0;
};

struct GenerationEnd
{
  FinishReason m_reason = FinishReason::End;
  std::string m_text;
  std::uint32_t m_promptTokens = 0;
  std::uint32_t m_emitted = 0;
  std::uint32_t m_attempts = 1;
};

// One generation on one worker.
class Generation : public std::enable_shared_from_this<Generation>
{
public:
  Generation(const GatewayServices& aServices,
             Worker& aWorker,
             RequestTrace& aTrace,
             const Caller& aCaller,
             GenerationRequest aRequest);

  // Runs to the end and hands every token to the sink once, in order.
  asio::awaitable<GenerationEnd> Run(TokenSink& aSink);

private:
  // What became of one step that was sent.
  struct StepEvent
  {
    std::uint32_t m_attempt = 0;
    std::size_t m_stage = 0;
    StepOutcome m_outcome;
  };

  asio::awaitable<bool> Tokenize();
  asio::awaitable<void> Perform(TokenSink& aSink);
  void Execute(StreamAction& aAction);
  void Plan(const NeedChain& aNeed);
  void Send(const SendStep& aSend);
  void Cancel(const SendCancel& aCancel);
  void TakeEvents();
  void Feed(StepEvent aEvent);
  asio::awaitable<void> WaitForEvent();
  ChainRequest MakeChainRequest() const;

  static asio::awaitable<void> RunStep(std::shared_ptr<Generation> aSelf,
                                       SendStep aSend);

  const GatewayServices& m_services;
  Worker& m_worker;
  RequestTrace& m_trace;
  const GenerationRequest m_request;
  const ClassTargets m_targets;
  const TimePoint m_deadline;
  const std::string m_stream; // names the stream to the engines
  StreamStateMachine m_machine;
  asio::steady_timer m_wakeUp;
  std::deque<StepEvent> m_events;
  std::deque<EmitToken> m_tokens;
  GenerationEnd m_end;
  // The trace ends with the request, steps may come back later.
  bool m_isOver = false;
};

// The targets of a configured class as the deciding code takes them.
ClassTargets
MakeTargets(const state::WorkClassT& aClass);

} // namespace parsleycove
