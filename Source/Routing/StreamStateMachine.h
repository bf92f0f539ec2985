// The state machine of one generation over a chain of runners.
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

// Drives a generation: (now, event) in, actions out.
//
// At most one step is outstanding, so for an attempt each stage is sent each
// position once, in order. A result is taken only when its attempt, stage and
// position are those of the outstanding step. A failed, silent or refusing
// stage starts the next attempt on a new chain, with the prompt and all tokens
// already emitted as its input; so the caller sees each token once.
class StreamStateMachine
{
public:
  // aBudget may be null: then attempts are bounded by count and deadline only.
  StreamStateMachine(StreamSettings aSettings, RetryBudget* aBudget);
  ~StreamStateMachine();
  StreamStateMachine(const StreamStateMachine&) = delete;
  StreamStateMachine& operator=(const StreamStateMachine&) = delete;

  void OnTokenized(TimePoint aNow, std::vector<std::uint32_t> aTokens);
  // Answers to NeedChain.
  void OnChain(TimePoint aNow, Chain aChain);
  void OnNoChain(TimePoint aNow, const std::string& aReason);
  void OnResult(TimePoint aNow, StepResult aResult);
  // The connection broke or was refused, or the endpoint is gone.
  void OnStepFailed(TimePoint aNow, std::uint32_t aAttempt, std::size_t aStage);
  // The connection of the step gave no sign of life.
  void OnStepUnresponsive(TimePoint aNow,
                          std::uint32_t aAttempt,
                          std::size_t aStage);
  // The caller's buffer is full, or has room again.
  void OnCallerSlow(TimePoint aNow);
  void OnCallerDrained(TimePoint aNow);
  void OnCancel(TimePoint aNow);
  void OnTick(TimePoint aNow);

  // Hands over the actions since the last call, in order.
  std::vector<StreamAction> TakeActions();
  // When OnTick is due at the latest; the deadline while nothing else is.
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
    // A token was emitted and the caller's buffer is full.
    Paused,
    Finished,
  };
  // What a stage did instead of a good answer.
  enum class StageFault
  {
    Answered,
    Failed,
    Silent,
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
  // Tells the stages that the attempt is over.
  void ReleaseChain();
  void Finish(FinishReason aReason, std::string aText);

  const StreamSettings m_settings;
  RetryBudget* const m_budget;
  Phase m_phase = Phase::Tokenizing;
  std::uint32_t m_attempt = 1;
  std::vector<std::uint32_t> m_prompt;
  // Tokens the caller was given, in order; never changed once there.
  std::vector<std::uint32_t> m_emitted;
  ChainReservation m_chain;
  // Inputs of this attempt that have passed the last stage.
  std::uint32_t m_processedInputs = 0;
  bool m_callerSlow = false;
  std::vector<std::string> m_excluded;
  // When the step was sent that last stayed unanswered.
  TimePoint m_unansweredSince;
  // When a chain or the budget is asked again, or max while neither is due.
  TimePoint m_retryAt = TimePoint::max();
  std::string m_lastFailure;
  std::vector<StreamAction> m_actions;
};

} // namespace parsleycove
