// Tests that what an endpoint has asked for, and what was learnt of it,
// outlasts its absence from the list. The cases replay an endpoint that is cut
// off from the control VMs for some seconds, while the gateways reach it.
#include "Routing/UnlistedRunners.h"

#include "Routing/EndpointLimits.h"
#include "Routing/TestCluster.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr seconds kGap{ 6 };

} // namespace

// clang-format off
TEST_GROUP(UnlistedRunners)
{
  TestCluster m_cluster;
  TestCluster m_empty;
  state::EndpointT* m_record = nullptr;
  boost::intrusive_ptr<const RunnerTable> m_table;
  TimePoint m_now = kTestStart;

  void setup() override
  {
    m_record = &m_cluster.AddService("s0", "booking");
    m_table = m_cluster.Build();
  }
  RunnerLoad& Load() const { return *m_table->FindRunner("s0")->m_load; }
  void Drop() { m_table = m_empty.Build(m_table.get(), m_now); }
  void List() { m_table = m_cluster.Build(m_table.get(), m_now); }
  void MissFor(Duration aFor)
  {
    Drop();
    m_now += aFor;
    List();
  }
};
// clang-format on

TEST(UnlistedRunners, APauseLastsAsLongAsWasAskedFor)
{
  Load().Notice().PauseFor(m_now, seconds(20));
  MissFor(kGap);
  CHECK(Load().Notice().IsPaused(m_now));
  CHECK_FALSE(Load().Notice().IsPaused(kTestStart + seconds(20)));
}

TEST(UnlistedRunners, AnOpenCircuitIsTriedBeforeItCloses)
{
  Load().RecordFailure(m_now);
  Load().RecordFailure(m_now);
  MissFor(std::chrono::milliseconds(100));
  CHECK(Load().Circuit(m_now) == CircuitState::Open);
  MissFor(kGap);
  CHECK(Load().Circuit(m_now) == CircuitState::HalfOpen);
  Load().RecordFailure(m_now);
  CHECK(Load().Circuit(m_now) == CircuitState::Open);
}

TEST(UnlistedRunners, AnEjectionAndTheEvidenceOfThisVmStay)
{
  Load().EjectFor(m_now, seconds(10));
  Load().RecordRefused(m_now);
  Load().RecordStartedAgain();
  MissFor(kGap);
  CHECK(Load().IsEjected(m_now));
  CHECK(Load().IsRefusing());
  CHECK(Load().HasStartedAgain());
}

TEST(UnlistedRunners, RequestsInProgressStillCount)
{
  Load().AddStream();
  MissFor(kGap);
  CHECK_EQUAL(1, Load().Streams());
}

TEST(UnlistedRunners, ANewAddressOfTheSameStartChangesNothing)
{
  Load().Notice().PauseFor(m_now, seconds(20));
  Drop();
  m_record->address = "10.0.0.7";
  List();
  CHECK(Load().Notice().IsPaused(m_now));
}

TEST(UnlistedRunners, ANewStartBeginsWithoutThem)
{
  Load().Notice().PauseFor(m_now, seconds(20));
  Load().OpenCircuitFor(m_now, seconds(20));
  Drop();
  ++m_record->incarnation;
  List();
  CHECK_FALSE(Load().Notice().IsPaused(m_now));
  CHECK(Load().Circuit(m_now) == CircuitState::Closed);
}

TEST(UnlistedRunners, TheLimitIsKeptAndToldToTheTableAgain)
{
  EndpointLimits limits("vm-1");
  limits.RecordNamed(m_now, RunnerPtr(m_table->FindRunner("s0")), 3, 2);
  state::ConfigImageT image;
  image.endpoint_limits.push_back(std::make_unique<state::EndpointLimitT>());
  state::EndpointLimitT& entry = *image.endpoint_limits.back();
  entry.id = "s0";
  entry.incarnation = m_record->incarnation;
  entry.per_1000_s = 3000;
  limits.Apply(m_now, image, *m_table, 2);
  // The table forgets the endpoint with the list.
  image.endpoint_limits.clear();
  Drop();
  limits.Apply(m_now, image, *m_table, 2);
  m_now += kGap;
  CHECK_FALSE(limits.TakeClaims(m_now, image, 2).has_value());
  List();
  limits.Apply(m_now, image, *m_table, 2);
  CHECK(Load().Quota().IsLimited());
  DOUBLES_EQUAL(1.5, Load().Quota().PerSecond(), 1e-9);
  const auto claims = limits.TakeClaims(m_now, image, 2);
  CHECK(claims.has_value());
  CHECK(claims->claims.front()->notice == state::LimitNotice::Named);
  CHECK_EQUAL(3000U, claims->claims.front()->per_1000_s);
}

TEST(UnlistedRunners, AnEndpointIsForgottenAfterItsTimeAndItsPause)
{
  Load().Notice().PauseFor(m_now, hours(2));
  MissFor(hours(2) - seconds(1));
  CHECK(Load().Notice().IsPaused(m_now));
  Load().AddStream();
  MissFor(UnlistedRunners::kRetention);
  CHECK_EQUAL(0, Load().Streams());
}

TEST(UnlistedRunners, BeyondTheirNumberThoseThatAskedForSomethingStay)
{
  for (std::size_t i = 0; i < UnlistedRunners::kMaxCount; ++i) {
    m_cluster.AddService("other-" + std::to_string(i), "booking");
  }
  List();
  Load().Notice().PauseFor(m_now, seconds(20));
  Drop();
  UnlistedRunners unlisted;
  const auto listed = m_cluster.Build();
  unlisted.Update(m_now, listed->Runners(), *m_table);
  CHECK_EQUAL(UnlistedRunners::kMaxCount, unlisted.Count());
  List();
  CHECK(Load().Notice().IsPaused(m_now));
}
