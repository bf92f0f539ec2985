// State machine of one generation over a chain of runners, which continues on a
// new chain when a stage fails.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "Routing/ChainReservation.h"
#include "Routing/RetryBudget.h"
#include "Routing/StepResult.h"
#include "Routing/StreamAction.h"

namespace parsleycove {

struct StreamSettings
{
  ClassTargets m_targets;
  TimePoint m_deadline;
  std::uint32_t m_maxTokens = 1;
  std::uint32_t m_maxAttempts = 8;
  // Inputs per prefill step; zero sends the whole prompt in one step.
  std::uint32_t m_prefillChunk = 0;
};

// Drives one generation without I/O: each event comes with the present time,
// and TakeActions() returns the resulting actions.
//
// At most one step is outstanding, so within an attempt each stage is sent each
// position once, in order. A result is accepted only if its attempt, stage and
// position are those of the outstanding step. When a stage fails, does not
// answer in time or refuses a step, the next attempt starts on a new chain,
// with the prompt and all tokens already emitted as its input; the caller
// therefore receives each token once.
class StreamStateMachine
{
public:
  // aBudget may be nullptr; then only the number of attempts and the deadline
  // limit retries.
  StreamStateMachine(StreamSettings aSettings, RetryBudget* aBudget);
  ~StreamStateMachine();
  StreamStateMachine(const StreamStateMachine&) = delete;
  StreamStateMachine& operator=(const StreamStateMachine&) = delete;

  void OnTokenized(TimePoint aNow, std::vector<std::uint32_t> aTokens);
  // OnChain and OnNoChain answer a NeedChain action.
  void OnChain(TimePoint aNow, Chain aChain);
  void OnNoChain(TimePoint aNow, const std::string& aReason);
  void OnResult(TimePoint aNow, StepResult aResult);
  // The connection to the stage broke or was refused, or the endpoint was
  // removed.
  void OnStepFailed(TimePoint aNow, std::uint32_t aAttempt, std::size_t aStage);
  // The stage gave no sign of life on its connection in time.
  void OnStepUnresponsive(TimePoint aNow,
                          std::uint32_t aAttempt,
                          std::size_t aStage);
  // The caller's buffer became full, or has space again.
  void OnCallerSlow(TimePoint aNow);
  void OnCallerDrained(TimePoint aNow);
  void OnCancel(TimePoint aNow);
  void OnTick(TimePoint aNow);

  // Returns the actions since the last call, in order.
  std::vector<StreamAction> TakeActions();
  // Returns the latest time at which OnTick is due: the stream's deadline if
  // nothing is due earlier, or TimePoint::max() once finished.
  TimePoint NextDeadline() const;

  bool IsFinished() const { return m_phase == Phase::Finished; }
  std::uint32_t Attempt() const { return m_attempt; }
  std::size_t Emitted() const { return m_emitted.size(); }

private:
  enum class Phase
  {
    Tokenizing,
    WaitingForChain,
    // The next attempt waits until the retry budget allows it.
    WaitingForBudget,
    Running,
    // The last token was emitted and the caller's buffer is full.
    Paused,
    Finished,
  };
  // How a stage failed to give a good answer.
  enum class StageFault
  {
    ErrorAnswer,
    ConnectionFailed,
    Unresponsive,
  };

  bool IsOutstanding(std::uint32_t aAttempt, std::size_t aStage) const;
  std::vector<std::uint32_t> Inputs() const;
  std::uint32_t InputCount() const;
  void RequestChain(TimePoint aNow, TimePoint aNotBefore);
  void SendPendingInputs(TimePoint aNow);
  void Send(TimePoint aNow, EngineStep aStep, std::size_t aStage);
  void HandleOk(TimePoint aNow, StepResult aResult);
  void HandleToken(TimePoint aNow, const StepResult& aResult);
  void AbandonAttempt(TimePoint aNow,
                      const std::string& aReason,
                      StageFault aFault);
  RetryDecision DecideOnRetry(TimePoint aNow);
  void TryNextAttempt(TimePoint aNow);
  // Cancels the attempt at all stages and releases the chain.
  void ReleaseChain();
  void Finish(FinishReason aReason, std::string aText);

  const StreamSettings m_settings;
  RetryBudget* const m_budget;
  Phase m_phase = Phase::Tokenizing;
  std::uint32_t m_attempt = 1;
  std::vector<std::uint32_t> m_prompt;
  // Tokens given to the caller, in order; entries never change.
  std::vector<std::uint32_t> m_emitted;
  ChainReservation m_chain;
  // Number of inputs of this attempt that have passed the last stage.
  std::uint32_t m_processedInputs = 0;
  bool m_callerSlow = false;
  std::vector<std::string> m_excluded;
  // Time at which the most recent step without an answer was sent.
  TimePoint m_unansweredSince;
  // Time at which a chain or the retry budget is requested again;
  // TimePoint::max() if neither is due.
  TimePoint m_retryAt = TimePoint::max();
  std::string m_lastFailure;
  std::vector<StreamAction> m_actions;
};

} // namespace parsleycove
