// Runs one generation against toy engines in virtual time, with faults.
#include "Routing/StreamSimulation.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr Duration kHop = std::chrono::milliseconds(1);
constexpr Duration kLongDelay = std::chrono::milliseconds(250);
constexpr Duration kSlowTime = std::chrono::milliseconds(700);
constexpr std::uint32_t kStages = 3;
constexpr std::uint32_t kRunnersPerStage = 3;

} // namespace

StreamSimulation::StreamSimulation(std::uint32_t aMaxTokens,
                                   std::uint32_t aPrefillChunk,
                                   std::vector<PlannedFault> aFaults)
  : m_faults(std::move(aFaults))
{
  TestCluster cluster;
  cluster.AddModel("toy", kToyLayers);
  constexpr std::uint32_t kLength = kToyLayers / kStages;
  for (std::uint32_t stage = 0; stage < kStages; ++stage) {
    const std::uint32_t first = stage * kLength;
    const std::uint32_t last = first + kLength - 1;
    for (std::uint32_t i = 0; i < kRunnersPerStage; ++i) {
      const std::string id = std::to_string(stage) + "-" + std::to_string(i);
      cluster.AddEngine(id, "toy", first, last);
      m_engines.emplace(id, ToyEngine(first, last));
    }
  }
  m_table = cluster.Build();
  StreamSettings settings;
  settings.m_targets.m_tokenInterval = std::chrono::milliseconds(25);
  settings.m_deadline = kTestStart + std::chrono::seconds(20);
  settings.m_maxTokens = aMaxTokens;
  settings.m_prefillChunk = aPrefillChunk;
  m_machine = std::make_unique<StreamStateMachine>(settings, nullptr);
}

void
StreamSimulation::At(Duration aDelay, Event aEvent)
{
  m_events.emplace(m_now + aDelay, std::move(aEvent));
}

void
StreamSimulation::Run()
{
  m_machine->OnTokenized(m_now, Prompt());
  PerformActions();
  constexpr int kMaxEvents = 10000;
  for (int i = 0; i < kMaxEvents; ++i) {
    const TimePoint due = m_machine->NextDeadline();
    const bool hasEvent = !m_events.empty();
    if (!hasEvent && due == TimePoint::max()) {
      break;
    }
    if (hasEvent && m_events.begin()->first <= due) {
      auto node = m_events.extract(m_events.begin());
      m_now = node.key();
      node.mapped()();
    } else {
      m_now = due;
      m_machine->OnTick(m_now);
    }
    PerformActions();
  }
  m_attempts = m_machine->Attempt();
}

void
StreamSimulation::PerformActions()
{
  for (;;) {
    const std::vector<StreamAction> actions = m_machine->TakeActions();
    if (actions.empty()) {
      return;
    }
    for (const StreamAction& action : actions) {
      Perform(action);
    }
  }
}

void
StreamSimulation::Perform(const StreamAction& aAction)
{
  if (const auto* send = std::get_if<SendStep>(&aAction)) {
    DoSendStep(*send);
  } else if (const auto* emit = std::get_if<EmitToken>(&aAction)) {
    DoEmit(*emit);
  } else if (const auto* need = std::get_if<NeedChain>(&aAction)) {
    DoNeedChain(*need);
  } else if (const auto* finish = std::get_if<FinishStream>(&aAction)) {
    m_finishes.push_back(*finish);
    m_finishedAt = m_now;
  }
}

StreamFault
StreamSimulation::FaultAt(std::size_t aStep) const
{
  for (const PlannedFault& fault : m_faults) {
    if (fault.m_step == aStep) {
      return fault.m_fault;
    }
  }
  return StreamFault::None;
}

void
StreamSimulation::DoSendStep(const SendStep& aAction)
{
  m_sentAfterFinish |= !m_finishes.empty();
  const StreamFault fault = FaultAt(m_stepsSent++);
  const std::string& id = aAction.m_runner->m_id;
  const std::uint32_t attempt = aAction.m_step.m_attempt;
  const std::size_t stage = aAction.m_stage;
  if (m_failed[id] || fault == StreamFault::KillBefore) {
    m_failed[id] = true;
    return;
  }
  StepResult refusal;
  refusal.m_stage = stage;
  refusal.m_attempt = attempt;
  refusal.m_position = aAction.m_step.m_position;
  switch (fault) {
    case StreamFault::DropStep:
      return;
    case StreamFault::DropResult:
      m_engines.at(id).Run(aAction.m_step, stage);
      return;
    case StreamFault::KillAfter:
      m_engines.at(id).Run(aAction.m_step, stage);
      m_failed[id] = true;
      return;
    case StreamFault::BreakConnection:
      At(kHop, [this, attempt, stage] {
        m_machine->OnStepFailed(m_now, attempt, stage);
      });
      return;
    case StreamFault::Gap:
    case StreamFault::Refuse:
      refusal.m_status =
        fault == StreamFault::Gap ? StepStatus::Gap : StepStatus::Refused;
      At(kHop, [this, refusal] { m_machine->OnResult(m_now, refusal); });
      return;
    case StreamFault::DelayResult:
      Deliver(aAction, kLongDelay);
      return;
    case StreamFault::DuplicateStep:
    case StreamFault::DuplicateResult:
      Deliver(aAction, kHop);
      Deliver(aAction, fault == StreamFault::DuplicateStep ? kHop : 3 * kHop);
      return;
    case StreamFault::ReorderResult:
      // A second copy arrives after the results of later steps.
      Deliver(aAction, kHop);
      Deliver(aAction, 10 * kHop);
      return;
    case StreamFault::Cancel:
      At(kHop / 2, [this] {
        m_cancelled = m_finishes.empty();
        m_machine->OnCancel(m_now);
      });
      Deliver(aAction, kHop);
      return;
    case StreamFault::SlowCaller:
      m_slow = true;
      m_tokensWhileSlow = 0;
      m_machine->OnCallerSlow(m_now);
      At(kSlowTime, [this] {
        m_slow = false;
        m_machine->OnCallerDrained(m_now);
      });
      Deliver(aAction, kHop);
      return;
    default:
      Deliver(aAction, kHop);
  }
}

void
StreamSimulation::Deliver(const SendStep& aAction, Duration aDelay)
{
  const StepResult result =
    m_engines.at(aAction.m_runner->m_id).Run(aAction.m_step, aAction.m_stage);
  At(aDelay, [this, result] { m_machine->OnResult(m_now, result); });
}

void
StreamSimulation::DoNeedChain(const NeedChain& aAction)
{
  Chain chain;
  std::uint32_t layer = 0;
  for (const RunnerPtr& runner : m_table->Runners()) {
    const auto& excluded = aAction.m_excluded;
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), runner->m_id) !=
      excluded.end();
    if (!isExcluded && runner->m_firstLayer == layer) {
      chain.m_stages.push_back(
        { runner, runner->m_firstLayer, runner->m_lastLayer });
      layer = runner->m_lastLayer + 1;
    }
  }
  if (layer == kToyLayers) {
    m_machine->OnChain(m_now, std::move(chain));
  } else {
    m_machine->OnNoChain(m_now, "no ready runner");
  }
}

void
StreamSimulation::DoEmit(const EmitToken& aAction)
{
  const auto produced =
    static_cast<std::size_t>(std::count(m_text.begin(), m_text.end(), ' '));
  m_indicesInOrder &= aAction.m_index == produced;
  m_text += aAction.m_text;
  m_tokensWhileSlow += m_slow ? 1 : 0;
}

bool
StreamSimulation::RanEachPositionOnce() const
{
  return std::all_of(m_engines.begin(), m_engines.end(), [](const auto& aPair) {
    return aPair.second.RanEachPositionOnce();
  });
}

bool
StreamSimulation::AreLoadsZero() const
{
  const auto& runners = m_table->Runners();
  return std::all_of(
    runners.begin(), runners.end(), [](const RunnerPtr& aRunner) {
      const RunnerLoad& load = *aRunner->m_load;
      return load.Streams() == 0 && load.Steps() == 0 && load.Positions() == 0;
    });
}

} // namespace parsleycove
