// Tests the runner table and the RunnerLoad objects that it keeps.
#include "Routing/RunnerTable.h"

#include "Routing/TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(RunnerTable){};

TEST(RunnerTable, KeepsTheLoadOfTheSameIncarnationOnly)
{
  TestCluster cluster;
  cluster.AddModel("m", 1);
  cluster.AddEngine("same", "m", 0, 0);
  state::EndpointT& restarted = cluster.AddEngine("restarted", "m", 0, 0);
  const auto before = cluster.Build();
  restarted.incarnation = 2;
  const auto after = cluster.Build(before.get());
  const auto loadOf = [](const auto& aTable, const char* aId) {
    return aTable->FindRunner(aId)->m_load.get();
  };
  POINTERS_EQUAL(loadOf(before, "same"), loadOf(after, "same"));
  CHECK(loadOf(before, "restarted") != loadOf(after, "restarted"));
}

TEST(RunnerTable, LeavingEndpointsAreFoundButGetNoNewWork)
{
  TestCluster cluster;
  cluster.AddModel("m", 1);
  cluster.AddEngine("e", "m", 0, 0).phase = state::EndpointPhase::Leaving;
  cluster.AddService("s", "booking").phase = state::EndpointPhase::Leaving;
  const auto table = cluster.Build();
  CHECK(table->FindRunner("e") != nullptr);
  CHECK(table->FindModel("m")->m_versions.empty());
  POINTERS_EQUAL(nullptr, table->FindService("booking"));
}

TEST_GROUP(RunnerLoad)
{
  RunnerLoad m_load;
};

TEST(RunnerLoad, ReportsFadeWithTheirAge)
{
  m_load.AddStream();
  m_load.RecordReport(kTestStart, 10, 11);
  DOUBLES_EQUAL(21.0, m_load.EstimateStreams(kTestStart), 0.01);
  const TimePoint later = kTestStart + std::chrono::seconds(10);
  CHECK(m_load.EstimateStreams(later) < 1.2);
}

TEST(RunnerLoad, AHugeReportIsNoIdleEndpoint)
{
  m_load.RecordReport(kTestStart, 2147483648U, 0);
  CHECK(m_load.EstimateStreams(kTestStart) > 1e9);
}

TEST(RunnerLoad, RepeatedFailuresKeepWorkAwayUntilOneProbeSucceeds)
{
  m_load.RecordFailure(kTestStart);
  CHECK(m_load.Circuit(kTestStart) == CircuitState::Closed);
  m_load.RecordFailure(kTestStart);
  CHECK(m_load.Circuit(kTestStart) == CircuitState::Open);
  CHECK_FALSE(m_load.ClaimProbe(kTestStart));
  const TimePoint later = kTestStart + std::chrono::seconds(1);
  CHECK(m_load.Circuit(later) == CircuitState::HalfOpen);
  CHECK(m_load.ClaimProbe(later));
  CHECK_FALSE(m_load.ClaimProbe(later));
  m_load.StartStep(1);
  m_load.FinishStep(later, 1, Duration(10), Duration(10));
  CHECK(m_load.Circuit(later) == CircuitState::Closed);
}

TEST(RunnerLoad, SilenceOfAllKeepsWorkAwayAtOnce)
{
  m_load.RecordSend(kTestStart);
  m_load.StartStep(1);
  m_load.StartStep(1);
  const TimePoint soon = kTestStart + std::chrono::milliseconds(40);
  const TimePoint later = kTestStart + std::chrono::milliseconds(60);
  CHECK_FALSE(m_load.IsUnresponsive(soon));
  CHECK(m_load.IsUnresponsive(later));
  m_load.AbandonStep(1);
  m_load.RecordTimeout(later, kTestStart);
  CHECK(m_load.Circuit(later) == CircuitState::Open);
}

TEST(RunnerLoad, SilenceOfOneConnectionDoesNot)
{
  m_load.RecordSend(kTestStart);
  m_load.StartStep(1);
  m_load.StartStep(1);
  const TimePoint soon = kTestStart + std::chrono::milliseconds(40);
  const TimePoint later = kTestStart + std::chrono::milliseconds(60);
  m_load.FinishStep(soon, 1, soon - kTestStart, Duration::zero());
  CHECK_FALSE(m_load.IsUnresponsive(later));
  m_load.RecordTimeout(later, kTestStart);
  CHECK(m_load.Circuit(later) == CircuitState::Closed);
}

TEST(RunnerLoad, SlownessFollowsSlowAnswersAndIsForgotten)
{
  for (int i = 0; i < 50; ++i) {
    m_load.StartStep(1);
    m_load.FinishStep(kTestStart, 1, Duration(1000), Duration(100));
  }
  CHECK(m_load.Slowdown(kTestStart) > 8.0);
  CHECK(m_load.Slowdown(kTestStart + std::chrono::seconds(60)) < 1.1);
}
