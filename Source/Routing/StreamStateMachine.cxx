// The state machine of one generation over a chain of runners.
#include "Routing/StreamStateMachine.h"

#include <algorithm>
#include <utility>

#include "Routing/StepTimeout.h"

namespace parsleycove {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

} // namespace

StreamStateMachine::StreamStateMachine(StreamSettings aSettings,
                                       RetryBudget* aBudget)
  : m_settings(std::move(aSettings))
  , m_budget(aBudget)
{
}

StreamStateMachine::~StreamStateMachine() = default;

std::vector<StreamAction>
StreamStateMachine::TakeActions()
{
  return std::exchange(m_actions, {});
}

TimePoint
StreamStateMachine::NextDeadline() const
{
  if (m_phase == Phase::Finished) {
    return TimePoint::max();
  }
  TimePoint next = std::min(m_settings.m_deadline, m_retryAt);
  if (m_chain.Step()) {
    next = std::min(next, m_chain.Step()->m_timeoutAt);
  }
  return next;
}

void
StreamStateMachine::OnTokenized(TimePoint aNow,
                                std::vector<std::uint32_t> aTokens)
{
  if (m_phase != Phase::Tokenizing) {
    return;
  }
  m_prompt = std::move(aTokens);
  RequestChain(aNow, aNow);
}

void
StreamStateMachine::RequestChain(TimePoint aNow, TimePoint aNotBefore)
{
  m_phase = Phase::WaitingForChain;
  if (aNotBefore > aNow) {
    m_retryAt = aNotBefore;
    return;
  }
  m_retryAt = TimePoint::max();
  const auto emitted = static_cast<std::uint32_t>(m_emitted.size());
  const std::uint32_t missing =
    m_settings.m_maxTokens > emitted ? m_settings.m_maxTokens - emitted : 0;
  m_actions.emplace_back(NeedChain{
    m_attempt, InputCount(), missing, m_excluded, m_unansweredSince });
}

void
StreamStateMachine::OnChain(TimePoint aNow, Chain aChain)
{
  if (m_phase != Phase::WaitingForChain || aChain.m_stages.empty()) {
    return;
  }
  if (m_prompt.empty()) {
    Finish(FinishReason::End, "prompt: expected at least one token");
    return;
  }
  m_chain.Reserve(std::move(aChain));
  m_retryAt = TimePoint::max();
  m_phase = Phase::Running;
  m_processedInputs = 0;
  SendPendingInputs(aNow);
}

void
StreamStateMachine::OnNoChain(TimePoint aNow, const std::string& aReason)
{
  if (m_phase != Phase::WaitingForChain) {
    return;
  }
  const bool fresh = m_attempt == 1;
  if (fresh) {
    Finish(FinishReason::NoChain, aReason);
    return;
  }
  // A running stream waits for another placement until its deadline, and may
  // go back to a runner that failed it once.
  m_lastFailure = aReason;
  m_excluded.clear();
  RequestChain(aNow, aNow + kRetryInterval);
}

std::uint32_t
StreamStateMachine::InputCount() const
{
  return static_cast<std::uint32_t>(m_prompt.size() + m_emitted.size());
}

void
StreamStateMachine::SendPendingInputs(TimePoint aNow)
{
  const std::uint32_t missing = InputCount() - m_processedInputs;
  const std::uint32_t chunk = m_settings.m_prefillChunk;
  const std::uint32_t count = chunk == 0 ? missing : std::min(missing, chunk);
  EngineStep step;
  step.m_attempt = m_attempt;
  step.m_position = m_processedInputs;
  step.m_count = count;
  step.m_tokens.reserve(count);
  for (std::uint32_t i = m_processedInputs; i < m_processedInputs + count;
       ++i) {
    step.m_tokens.push_back(
      i < m_prompt.size() ? m_prompt[i] : m_emitted[i - m_prompt.size()]);
  }
  Send(aNow, std::move(step), 0);
}

void
StreamStateMachine::Send(TimePoint aNow, EngineStep aStep, std::size_t aStage)
{
  const RunnerPtr& runner = m_chain.RunnerAt(aStage);
  const Duration timeout =
    ComputeStepTimeout(m_settings.m_targets, *runner, aStep, m_emitted.empty());
  m_chain.StartStep(
    { aStage, aStep.m_position, aStep.m_count, aNow, aNow + timeout });
  m_actions.emplace_back(SendStep{ aStage, runner, std::move(aStep) });
}

bool
StreamStateMachine::IsOutstanding(std::uint32_t aAttempt,
                                  std::size_t aStage) const
{
  return m_phase == Phase::Running && m_chain.Step() && aAttempt == m_attempt &&
         aStage == m_chain.Step()->m_stage;
}

void
StreamStateMachine::OnResult(TimePoint aNow, StepResult aResult)
{
  const bool expected = IsOutstanding(aResult.m_attempt, aResult.m_stage) &&
                        aResult.m_position == m_chain.Step()->m_position;
  if (!expected) {
    return;
  }
  switch (aResult.m_status) {
    case StepStatus::Ok:
      HandleOk(aNow, std::move(aResult));
      return;
    case StepStatus::Gap:
      AbandonAttempt(
        aNow, "a stage lacked earlier positions", StageFault::Answered);
      return;
    case StepStatus::Cancelled:
      AbandonAttempt(
        aNow, "a stage had cancelled the stream", StageFault::Answered);
      return;
    case StepStatus::Refused:
      AbandonAttempt(aNow, "a stage refused the step", StageFault::Answered);
      return;
  }
}

void
StreamStateMachine::HandleOk(TimePoint aNow, StepResult aResult)
{
  const OutstandingStep sent = *m_chain.Step();
  m_chain.FinishStep(aNow);
  const std::size_t next = sent.m_stage + 1;
  if (next < m_chain.StageCount()) {
    EngineStep step;
    step.m_attempt = m_attempt;
    step.m_position = sent.m_position;
    step.m_count = sent.m_count;
    step.m_hidden = std::move(aResult.m_hidden);
    Send(aNow, std::move(step), next);
    return;
  }
  m_processedInputs += sent.m_count;
  if (m_processedInputs < InputCount()) {
    SendPendingInputs(aNow);
    return;
  }
  HandleToken(aNow, aResult);
}

void
StreamStateMachine::HandleToken(TimePoint aNow, const StepResult& aResult)
{
  // The end mark may carry no text; then it is no token of the answer.
  if (!aResult.m_end || !aResult.m_text.empty()) {
    m_actions.emplace_back(
      EmitToken{ m_emitted.size(), aResult.m_token, aResult.m_text });
    m_emitted.push_back(aResult.m_token);
  }
  if (m_budget) {
    m_budget->RecordSuccess();
  }
  if (aResult.m_end) {
    Finish(FinishReason::End, {});
  } else if (m_emitted.size() >= m_settings.m_maxTokens) {
    Finish(FinishReason::MaxTokens, {});
  } else if (m_callerSlow) {
    m_phase = Phase::Paused;
  } else {
    SendPendingInputs(aNow);
  }
}

void
StreamStateMachine::OnStepFailed(TimePoint aNow,
                                 std::uint32_t aAttempt,
                                 std::size_t aStage)
{
  if (IsOutstanding(aAttempt, aStage)) {
    AbandonAttempt(
      aNow, "the connection to a stage failed", StageFault::Failed);
  }
}

void
StreamStateMachine::OnStepUnresponsive(TimePoint aNow,
                                       std::uint32_t aAttempt,
                                       std::size_t aStage)
{
  if (IsOutstanding(aAttempt, aStage)) {
    AbandonAttempt(aNow, "a stage stayed silent", StageFault::Silent);
  }
}

void
StreamStateMachine::AbandonAttempt(TimePoint aNow,
                                   const std::string& aReason,
                                   StageFault aFault)
{
  const OutstandingStep sent = *m_chain.Step();
  const RunnerPtr failed = m_chain.RunnerAt(sent.m_stage);
  if (aFault == StageFault::Failed) {
    failed->m_load->RecordFailure(aNow);
  } else if (aFault == StageFault::Silent) {
    failed->m_load->RecordTimeout(aNow, sent.m_sentAt);
    m_unansweredSince = sent.m_sentAt;
  }
  m_lastFailure = failed->m_id + ": " + aReason;
  m_excluded.push_back(failed->m_id);
  ReleaseChain();
  TryNextAttempt(aNow);
}

RetryDecision
StreamStateMachine::DecideOnRetry(TimePoint aNow)
{
  if (!m_budget) {
    const bool more = m_attempt < m_settings.m_maxAttempts;
    return { more ? RetryStatus::Retry : RetryStatus::TooManyAttempts, {} };
  }
  RetryRequest request;
  request.m_attempts = m_attempt;
  request.m_maxAttempts = m_settings.m_maxAttempts;
  // Steps are idempotent: an attempt's number keeps its results apart.
  request.m_idempotent = true;
  request.m_deadline = m_settings.m_deadline;
  return m_budget->Decide(aNow, request);
}

void
StreamStateMachine::TryNextAttempt(TimePoint aNow)
{
  const RetryDecision decision = DecideOnRetry(aNow);
  switch (decision.m_status) {
    case RetryStatus::Retry:
      ++m_attempt;
      RequestChain(aNow, aNow + decision.m_backoff);
      return;
    case RetryStatus::BudgetExhausted:
      // Others' successes fill the budget; until then this stream waits.
      m_phase = Phase::WaitingForBudget;
      m_retryAt = aNow + kRetryInterval;
      return;
    case RetryStatus::WouldMissDeadline:
      Finish(FinishReason::DeadlineExceeded, m_lastFailure);
      return;
    default:
      Finish(FinishReason::TooManyAttempts, m_lastFailure);
  }
}

void
StreamStateMachine::OnCallerSlow(TimePoint /*aNow*/)
{
  m_callerSlow = true;
}

void
StreamStateMachine::OnCallerDrained(TimePoint aNow)
{
  m_callerSlow = false;
  if (m_phase == Phase::Paused) {
    m_phase = Phase::Running;
    SendPendingInputs(aNow);
  }
}

void
StreamStateMachine::OnCancel(TimePoint /*aNow*/)
{
  if (m_phase != Phase::Finished) {
    Finish(FinishReason::Cancelled, "the caller cancelled the request");
  }
}

void
StreamStateMachine::OnTick(TimePoint aNow)
{
  if (m_phase == Phase::Finished) {
    return;
  }
  if (aNow >= m_settings.m_deadline) {
    Finish(FinishReason::DeadlineExceeded, m_lastFailure);
    return;
  }
  if (m_phase == Phase::WaitingForChain && aNow >= m_retryAt) {
    RequestChain(aNow, aNow);
    return;
  }
  if (m_phase == Phase::WaitingForBudget && aNow >= m_retryAt) {
    TryNextAttempt(aNow);
    return;
  }
  if (m_chain.Step() && aNow >= m_chain.Step()->m_timeoutAt) {
    OnStepUnresponsive(aNow, m_attempt, m_chain.Step()->m_stage);
  }
}

void
StreamStateMachine::ReleaseChain()
{
  // Engines keep a stream's KV cache until they are told that it is over.
  for (std::size_t i = 0; i < m_chain.StageCount(); ++i) {
    m_actions.emplace_back(SendCancel{ i, m_chain.RunnerAt(i), m_attempt });
  }
  m_chain.Release();
}

void
StreamStateMachine::Finish(FinishReason aReason, std::string aText)
{
  ReleaseChain();
  m_phase = Phase::Finished;
  m_retryAt = TimePoint::max();
  m_actions.emplace_back(FinishStream{ aReason, std::move(aText) });
}

} // namespace parsleycove
