// The state machine of one generation over a chain of runners.
#include "Routing/StreamMachine.h"

#include <algorithm>
#include <utility>

#include "Routing/StepTimeout.h"

namespace parsleycove {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

} // namespace

StreamMachine::StreamMachine(StreamSettings aSettings, RetryBudget* aBudget)
  : m_settings(std::move(aSettings))
  , m_budget(aBudget)
{
}

StreamMachine::~StreamMachine() = default;

std::vector<StreamAction>
StreamMachine::TakeActions()
{
  return std::exchange(m_actions, {});
}

TimePoint
StreamMachine::NextDeadline() const
{
  if (m_phase == Phase::Finished) {
    return TimePoint::max();
  }
  TimePoint next = std::min(m_settings.m_deadline, m_askAgainAt);
  if (m_chain.Step()) {
    next = std::min(next, m_chain.Step()->m_timeoutAt);
  }
  return next;
}

void
StreamMachine::OnTokenized(TimePoint aNow, std::vector<std::uint32_t> aTokens)
{
  if (m_phase != Phase::Tokenizing) {
    return;
  }
  m_prompt = std::move(aTokens);
  AskForChain(aNow, aNow);
}

void
StreamMachine::AskForChain(TimePoint aNow, TimePoint aNotBefore)
{
  m_phase = Phase::WaitingForChain;
  if (aNotBefore > aNow) {
    m_askAgainAt = aNotBefore;
    return;
  }
  m_askAgainAt = TimePoint::max();
  const auto emitted = static_cast<std::uint32_t>(m_emitted.size());
  const std::uint32_t missing =
    m_settings.m_maxTokens > emitted ? m_settings.m_maxTokens - emitted : 0;
  m_actions.emplace_back(
    NeedChain{ m_attempt, InputCount(), missing, m_excluded, m_silentSince });
}

void
StreamMachine::OnChain(TimePoint aNow, Chain aChain)
{
  if (m_phase != Phase::WaitingForChain || aChain.m_stages.empty()) {
    return;
  }
  if (m_prompt.empty()) {
    Finish(FinishReason::End, "prompt: expected at least one token");
    return;
  }
  m_chain.Take(std::move(aChain));
  m_askAgainAt = TimePoint::max();
  m_phase = Phase::Running;
  m_done = 0;
  SendInputs(aNow);
}

void
StreamMachine::OnNoChain(TimePoint aNow, const std::string& aWhy)
{
  if (m_phase != Phase::WaitingForChain) {
    return;
  }
  const bool fresh = m_attempt == 1;
  if (fresh) {
    Finish(FinishReason::NoChain, aWhy);
    return;
  }
  // A running stream waits for another placement until its deadline, and may
  // go back to a runner that failed it once.
  m_lastFailure = aWhy;
  m_excluded.clear();
  AskForChain(aNow, aNow + kRetryInterval);
}

std::uint32_t
StreamMachine::InputCount() const
{
  return static_cast<std::uint32_t>(m_prompt.size() + m_emitted.size());
}

void
StreamMachine::SendInputs(TimePoint aNow)
{
  const std::uint32_t missing = InputCount() - m_done;
  const std::uint32_t chunk = m_settings.m_prefillChunk;
  const std::uint32_t count = chunk == 0 ? missing : std::min(missing, chunk);
  EngineStep step;
  step.m_attempt = m_attempt;
  step.m_position = m_done;
  step.m_count = count;
  step.m_tokens.reserve(count);
  for (std::uint32_t i = m_done; i < m_done + count; ++i) {
    step.m_tokens.push_back(
      i < m_prompt.size() ? m_prompt[i] : m_emitted[i - m_prompt.size()]);
  }
  Send(aNow, std::move(step), 0);
}

void
StreamMachine::Send(TimePoint aNow, EngineStep aStep, std::size_t aStage)
{
  const RunnerPtr& runner = m_chain.RunnerAt(aStage);
  const Duration timeout =
    ComputeStepTimeout(m_settings.m_targets, *runner, aStep, m_emitted.empty());
  m_chain.StartStep(
    { aStage, aStep.m_position, aStep.m_count, aNow, aNow + timeout });
  m_actions.emplace_back(SendStep{ aStage, runner, std::move(aStep) });
}

bool
StreamMachine::IsOutstanding(std::uint32_t aAttempt, std::size_t aStage) const
{
  return m_phase == Phase::Running && m_chain.Step() && aAttempt == m_attempt &&
         aStage == m_chain.Step()->m_stage;
}

void
StreamMachine::OnResult(TimePoint aNow, StepResult aResult)
{
  const bool expected = IsOutstanding(aResult.m_attempt, aResult.m_stage) &&
                        aResult.m_position == m_chain.Step()->m_position;
  if (!expected) {
    return;
  }
  switch (aResult.m_status) {
    case StepStatus::Ok:
      TakeOk(aNow, std::move(aResult));
      return;
    case StepStatus::Gap:
      Restart(aNow, "a stage lacked earlier positions", StageFault::Answered);
      return;
    case StepStatus::Cancelled:
      Restart(aNow, "a stage had cancelled the stream", StageFault::Answered);
      return;
    case StepStatus::Refused:
      Restart(aNow, "a stage refused the step", StageFault::Answered);
      return;
  }
}

void
StreamMachine::TakeOk(TimePoint aNow, StepResult aResult)
{
  const OutstandingStep sent = *m_chain.Step();
  m_chain.FinishStep(aNow);
  const std::size_t next = sent.m_stage + 1;
  if (next < m_chain.Stages()) {
    EngineStep step;
    step.m_attempt = m_attempt;
    step.m_position = sent.m_position;
    step.m_count = sent.m_count;
    step.m_hidden = std::move(aResult.m_hidden);
    Send(aNow, std::move(step), next);
    return;
  }
  m_done += sent.m_count;
  if (m_done < InputCount()) {
    SendInputs(aNow);
    return;
  }
  TakeToken(aNow, aResult);
}

void
StreamMachine::TakeToken(TimePoint aNow, const StepResult& aResult)
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
    SendInputs(aNow);
  }
}

void
StreamMachine::OnStepFailed(TimePoint aNow,
                            std::uint32_t aAttempt,
                            std::size_t aStage)
{
  if (IsOutstanding(aAttempt, aStage)) {
    Restart(aNow, "the connection to a stage failed", StageFault::Failed);
  }
}

void
StreamMachine::OnStepSilent(TimePoint aNow,
                            std::uint32_t aAttempt,
                            std::size_t aStage)
{
  if (IsOutstanding(aAttempt, aStage)) {
    Restart(aNow, "a stage stayed silent", StageFault::Silent);
  }
}

void
StreamMachine::Restart(TimePoint aNow,
                       const std::string& aWhy,
                       StageFault aFault)
{
  const OutstandingStep sent = *m_chain.Step();
  const RunnerPtr failed = m_chain.RunnerAt(sent.m_stage);
  if (aFault == StageFault::Failed) {
    failed->m_load->RecordFailure(aNow);
  } else if (aFault == StageFault::Silent) {
    failed->m_load->RecordTimeout(aNow, sent.m_sentAt);
    m_silentSince = sent.m_sentAt;
  }
  m_lastFailure = failed->m_id + ": " + aWhy;
  m_excluded.push_back(failed->m_id);
  ReleaseChain();
  TryNextAttempt(aNow);
}

RetryDecision
StreamMachine::DecideOnRetry(TimePoint aNow)
{
  if (!m_budget) {
    const bool more = m_attempt < m_settings.m_maxAttempts;
    return { more ? RetryVerdict::Retry : RetryVerdict::TooManyAttempts, {} };
  }
  RetryQuestion question;
  question.m_attempts = m_attempt;
  question.m_maxAttempts = m_settings.m_maxAttempts;
  // Steps are idempotent: an attempt's number keeps its results apart.
  question.m_idempotent = true;
  question.m_deadline = m_settings.m_deadline;
  return m_budget->Decide(aNow, question);
}

void
StreamMachine::TryNextAttempt(TimePoint aNow)
{
  const RetryDecision decision = DecideOnRetry(aNow);
  switch (decision.m_verdict) {
    case RetryVerdict::Retry:
      ++m_attempt;
      AskForChain(aNow, aNow + decision.m_backoff);
      return;
    case RetryVerdict::BudgetSpent:
      // Others' successes fill the budget; until then this stream waits.
      m_phase = Phase::WaitingForBudget;
      m_askAgainAt = aNow + kRetryInterval;
      return;
    case RetryVerdict::TooLate:
      Finish(FinishReason::DeadlineExceeded, m_lastFailure);
      return;
    default:
      Finish(FinishReason::TooManyAttempts, m_lastFailure);
  }
}

void
StreamMachine::OnCallerSlow(TimePoint /*aNow*/)
{
  m_callerSlow = true;
}

void
StreamMachine::OnCallerDrained(TimePoint aNow)
{
  m_callerSlow = false;
  if (m_phase == Phase::Paused) {
    m_phase = Phase::Running;
    SendInputs(aNow);
  }
}

void
StreamMachine::OnCancel(TimePoint /*aNow*/)
{
  if (m_phase != Phase::Finished) {
    Finish(FinishReason::Cancelled, "the caller cancelled the request");
  }
}

void
StreamMachine::OnTick(TimePoint aNow)
{
  if (m_phase == Phase::Finished) {
    return;
  }
  if (aNow >= m_settings.m_deadline) {
    Finish(FinishReason::DeadlineExceeded, m_lastFailure);
    return;
  }
  if (m_phase == Phase::WaitingForChain && aNow >= m_askAgainAt) {
    AskForChain(aNow, aNow);
    return;
  }
  if (m_phase == Phase::WaitingForBudget && aNow >= m_askAgainAt) {
    TryNextAttempt(aNow);
    return;
  }
  if (m_chain.Step() && aNow >= m_chain.Step()->m_timeoutAt) {
    OnStepSilent(aNow, m_attempt, m_chain.Step()->m_stage);
  }
}

void
StreamMachine::ReleaseChain()
{
  // Engines keep a stream's KV cache until they are told that it is over.
  for (std::size_t i = 0; i < m_chain.Stages(); ++i) {
    m_actions.emplace_back(SendCancel{ i, m_chain.RunnerAt(i), m_attempt });
  }
  m_chain.Release();
}

void
StreamMachine::Finish(FinishReason aReason, std::string aText)
{
  ReleaseChain();
  m_phase = Phase::Finished;
  m_askAgainAt = TimePoint::max();
  m_actions.emplace_back(FinishStream{ aReason, std::move(aText) });
}

} // namespace parsleycove
