// Every fault at every step of a generation, alone and in pairs.
#include "Routing/StreamSimulation.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::uint32_t kTokens = 4;
constexpr std::size_t kSteps = 12; // 3 stages for each token

void
CheckRun(const std::vector<PlannedFault>& aFaults, std::uint32_t aChunk)
{
  StreamSimulation bench(kTokens, aChunk, aFaults);
  bench.Run();
  const std::string expected =
    ComputeToyText(StreamSimulation::Prompt(), kTokens);
  std::string what = "chunk " + std::to_string(aChunk);
  for (const PlannedFault& fault : aFaults) {
    what += " step " + std::to_string(fault.m_step) + " fault " +
            std::to_string(static_cast<int>(fault.m_fault));
  }
  const char* label = what.c_str();
  CHECK_TEXT(bench.m_finishes.size() == 1, label);
  CHECK_TEXT(bench.m_indicesInOrder, label);
  CHECK_TEXT(bench.RanEachPositionOnce(), label);
  CHECK_TEXT(bench.AreLoadsZero(), label);
  CHECK_TEXT(!bench.m_sentAfterFinish, label);
  CHECK_TEXT(bench.m_tokensWhileSlow <= 1, label);
  if (bench.m_cancelled) {
    CHECK_TEXT(bench.m_finishes[0].m_reason == FinishReason::Cancelled, label);
    CHECK_TEXT(expected.compare(0, bench.m_text.size(), bench.m_text) == 0,
               label);
  } else {
    CHECK_TEXT(bench.m_finishes[0].m_reason == FinishReason::MaxTokens, label);
    STRCMP_EQUAL_TEXT(expected.c_str(), bench.m_text.c_str(), label);
  }
}

} // namespace

TEST_GROUP(StreamStateMachine){};

TEST(StreamStateMachine, EveryFaultAtEveryStep)
{
  for (const std::uint32_t chunk : { 0U, 1U, 2U }) {
    for (std::size_t step = 0; step < kSteps + 6; ++step) {
      for (std::size_t fault = 0; fault < kStreamFaults; ++fault) {
        CheckRun({ { step, static_cast<StreamFault>(fault) } }, chunk);
      }
    }
  }
}

TEST(StreamStateMachine, EveryPairOfFaults)
{
  for (std::size_t first = 0; first < kSteps; ++first) {
    for (std::size_t second = first + 1; second < kSteps + 6; ++second) {
      for (std::size_t one = 1; one < kStreamFaults; ++one) {
        for (std::size_t other = 1; other < kStreamFaults; ++other) {
          CheckRun({ { first, static_cast<StreamFault>(one) },
                     { second, static_cast<StreamFault>(other) } },
                   0);
        }
      }
    }
  }
}

TEST(StreamStateMachine, SilenceIsFoundWithinTheStepTimeout)
{
  StreamSimulation undisturbed(kTokens, 0, {});
  undisturbed.Run();
  StreamSimulation silent(kTokens, 0, { { 7, StreamFault::KillBefore } });
  silent.Run();
  // 4 token intervals of 25 ms, then the lost steps are computed again.
  const auto longer = silent.m_finishedAt - undisturbed.m_finishedAt;
  CHECK(longer >= std::chrono::milliseconds(100));
  CHECK(longer < std::chrono::milliseconds(130));
  CHECK_EQUAL(2, silent.m_attempts);
}

TEST(StreamStateMachine, StagesThatKeepDyingEndTheStreamWithAReason)
{
  std::vector<PlannedFault> faults;
  for (std::size_t step = 3; step < 100; ++step) {
    faults.push_back({ step, StreamFault::BreakConnection });
  }
  StreamSimulation bench(kTokens, 0, faults);
  bench.Run();
  CHECK_EQUAL(1, bench.m_finishes.size());
  CHECK(bench.m_finishes[0].m_reason == FinishReason::TooManyAttempts);
  CHECK_FALSE(bench.m_finishes[0].m_text.empty());
  STRCMP_EQUAL(ComputeToyText(StreamSimulation::Prompt(), 1).c_str(),
               bench.m_text.c_str());
  CHECK(bench.AreLoadsZero());
}

// One runner that holds the whole model, and a stream over it.
TEST_GROUP(SingleStageStream)
{
  void setup() override
  {
    m_settings.m_deadline = kTestStart + std::chrono::seconds(5);
    m_settings.m_maxTokens = 2;
    TestCluster cluster;
    cluster.AddModel("m", 1).AddEngine("e", "m", 0, 0);
    m_table = cluster.Build();
    m_chain.m_stages.push_back({ m_table->Runners()[0], 0, 0 });
  }

  template<typename Action>
  static std::size_t CountOf(const std::vector<StreamAction>& aActions)
  {
    std::size_t count = 0;
    for (const StreamAction& action : aActions) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
  }
  static FinishStream FinishOf(const std::vector<StreamAction>& aActions)
  {
    const auto* finish = std::get_if<FinishStream>(&aActions.back());
    CHECK(finish != nullptr);
    return *finish;
  }

  StreamSettings m_settings;
  boost::intrusive_ptr<const RunnerTable> m_table;
  Chain m_chain;
};

TEST(SingleStageStream, FreshStreamWithoutChainIsRefusedAtOnce)
{
  StreamStateMachine machine(m_settings, nullptr);
  machine.OnTokenized(kTestStart, { 1 });
  machine.OnNoChain(kTestStart, "no ready runner for layer 3");
  CHECK(machine.IsFinished());
  const FinishStream finish = FinishOf(machine.TakeActions());
  CHECK(finish.m_reason == FinishReason::NoChain);
  STRCMP_EQUAL("no ready runner for layer 3", finish.m_text.c_str());
}

TEST(SingleStageStream, RunningStreamWaitsForAChainUntilItsDeadline)
{
  StreamStateMachine machine(m_settings, nullptr);
  machine.OnTokenized(kTestStart, { 1 });
  machine.OnChain(kTestStart, m_chain);
  machine.OnStepFailed(kTestStart, 1, 0);
  std::size_t asked = 0;
  TimePoint now = kTestStart;
  for (;;) {
    machine.OnNoChain(now, "no ready runner for layer 0");
    now = machine.NextDeadline();
    CHECK(now <= m_settings.m_deadline);
    machine.OnTick(now);
    if (machine.IsFinished()) {
      break;
    }
    asked += CountOf<NeedChain>(machine.TakeActions());
  }
  CHECK(asked > 10);
  const FinishStream finish = FinishOf(machine.TakeActions());
  CHECK(finish.m_reason == FinishReason::DeadlineExceeded);
  STRCMP_EQUAL("no ready runner for layer 0", finish.m_text.c_str());
}

TEST(SingleStageStream, SpentBudgetDelaysTheNextAttempt)
{
  RetryBudget budget(0.5, 1, 1);
  CHECK(budget.Spend());
  StreamStateMachine machine(m_settings, &budget);
  machine.OnTokenized(kTestStart, { 1 });
  machine.OnChain(kTestStart, m_chain);
  machine.OnStepFailed(kTestStart, 1, 0);
  machine.TakeActions();
  machine.OnTick(machine.NextDeadline());
  CHECK_EQUAL(0, CountOf<NeedChain>(machine.TakeActions()));
  CHECK_FALSE(machine.IsFinished());
  budget.RecordSuccess();
  budget.RecordSuccess();
  machine.OnTick(machine.NextDeadline());
  CHECK_EQUAL(1, CountOf<NeedChain>(machine.TakeActions()));
  CHECK_EQUAL(2, machine.Attempt());
}

TEST(SingleStageStream, EndMarkWithoutTextIsNoToken)
{
  StreamStateMachine machine(m_settings, nullptr);
  machine.OnTokenized(kTestStart, { 1 });
  machine.OnChain(kTestStart, m_chain);
  machine.TakeActions();
  StepResult result;
  result.m_attempt = 1;
  result.m_end = true;
  machine.OnResult(kTestStart, result);
  const auto actions = machine.TakeActions();
  CHECK_EQUAL(0, CountOf<EmitToken>(actions));
  CHECK_EQUAL(1, CountOf<SendCancel>(actions));
  CHECK(FinishOf(actions).m_reason == FinishReason::End);
}
