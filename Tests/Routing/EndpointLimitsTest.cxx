// Tests that all gateways together keep to the limit of an endpoint and use it.
// The cases replay callers who press on an endpoint in need, beside gateways
// that join, stop, freeze and are cut off.
#include "Routing/EndpointLimits.h"

#include "Routing/LimitFleet.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' rule, from this time after an endpoint first named its limit.
constexpr seconds kStableTime{ 3 };

std::size_t
MostAllowed(double aLimit)
{
  return static_cast<std::size_t>(1.5 * 4 * aLimit + 5);
}

// Part of the limit that is used while more than twice as much is asked for;
// requests that come unevenly leave a rest.
constexpr double kLeastUsed = 2.0 / 3;

} // namespace

// clang-format off
TEST_GROUP(EndpointLimits)
{
  std::unique_ptr<LimitFleet> m_fleet;

  void Start(std::uint64_t aSeed, int aGateways, double aDemand)
  {
    m_fleet = std::make_unique<LimitFleet>(aSeed);
    for (int i = 0; i < aGateways; ++i) {
      m_fleet->AddGateway(aDemand / aGateways);
    }
    m_fleet->Run(seconds(5));
  }
  void CheckKept(double aLimit, TimePoint aFrom) const
  {
    CHECK_COMPARE(m_fleet->MostInWindow(aFrom), <=, MostAllowed(aLimit));
  }
  void CheckUsed(double aLimit, TimePoint aFrom) const
  {
    const double length =
      std::chrono::duration<double>(m_fleet->Now() - aFrom).count();
    CHECK_COMPARE(static_cast<double>(
                    m_fleet->Count(aFrom, m_fleet->Now())),
                  >=,
                  kLeastUsed * aLimit * length);
  }
  double SumOfParts(std::size_t aGateways) const
  {
    double sum = 0;
    for (std::size_t i = 0; i < aGateways; ++i) {
      sum += m_fleet->OwnPerSecond(i);
    }
    return sum;
  }
};
// clang-format on

TEST(EndpointLimits, AreKeptAndUsedByFleetsOfAnySize)
{
  for (const int gateways : { 1, 3, 9, 24, 60 }) {
    for (const double limit : { 0.5, 3.7, 11.3, 40.0 }) {
      Start(static_cast<std::uint64_t>(gateways), gateways, 2.5 * limit);
      m_fleet->SetLimit(limit);
      const TimePoint namedAt = m_fleet->Now();
      m_fleet->Run(seconds(24));
      CheckKept(limit, namedAt + kStableTime);
      // With more gateways than shares, callers of the others go elsewhere.
      if (gateways <= 2 + limit) {
        CheckUsed(limit, namedAt + seconds(6));
      }
    }
  }
}

TEST(EndpointLimits, AGatewayWithMoreDemandGetsMore)
{
  Start(1, 4, 4);
  m_fleet->SetDemand(0, 20);
  m_fleet->SetLimit(10);
  m_fleet->Run(seconds(12));
  CHECK(m_fleet->OwnPerSecond(0) > 5);
  CHECK_COMPARE(SumOfParts(4), <=, 10.001);
  // The demand moves to another gateway, and the limit with it.
  m_fleet->SetDemand(0, 1);
  m_fleet->SetDemand(3, 20);
  const TimePoint movedAt = m_fleet->Now();
  m_fleet->Run(seconds(20));
  CHECK(m_fleet->OwnPerSecond(3) > 5);
  CheckKept(10, movedAt);
  CheckUsed(10, movedAt + seconds(6));
}

TEST(EndpointLimits, AreKeptWhileGatewaysJoinStopFreezeAndAreCutOff)
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    constexpr double kLimit = 8;
    Start(seed, 9, 24);
    m_fleet->SetLimit(kLimit);
    const TimePoint namedAt = m_fleet->Now();
    m_fleet->Run(seconds(4));
    m_fleet->Freeze(0, seconds(4));
    m_fleet->Cut(1, seconds(9));
    m_fleet->Run(seconds(2));
    m_fleet->Restart(2);
    m_fleet->AddGateway(4);
    m_fleet->AddGateway(4);
    m_fleet->Run(seconds(3));
    m_fleet->Stop(3);
    m_fleet->Stop(4);
    m_fleet->Run(seconds(4));
    m_fleet->CutAll(seconds(2));
    m_fleet->Run(seconds(20));
    CheckKept(kLimit, namedAt + kStableTime);
    // Shares of gateways that have stopped are taken over.
    CheckUsed(kLimit, m_fleet->Now() - seconds(8));
  }
}

TEST(EndpointLimits, FollowALimitThatFallsRisesAndEnds)
{
  Start(5, 9, 40);
  m_fleet->SetLimit(16);
  m_fleet->Run(seconds(10));
  m_fleet->SetLimit(4);
  const TimePoint fallenAt = m_fleet->Now();
  m_fleet->Run(seconds(12));
  CheckKept(4, fallenAt + kStableTime);
  m_fleet->SetLimit(12);
  const TimePoint risenAt = m_fleet->Now();
  m_fleet->Run(seconds(12));
  CheckKept(12, risenAt);
  CheckUsed(12, risenAt + seconds(4));
  m_fleet->SetLimit(std::nullopt);
  const TimePoint endedAt = m_fleet->Now();
  m_fleet->Run(seconds(6));
  // All callers are served again.
  CHECK_COMPARE(m_fleet->Count(endedAt + seconds(2), m_fleet->Now()),
                >=,
                std::size_t{ 120 });
}

TEST(EndpointLimits, WithoutTheControlGroupEachGatewayKeepsToAnEqualPart)
{
  m_fleet = std::make_unique<LimitFleet>(7);
  for (int i = 0; i < 4; ++i) {
    m_fleet->AddGateway(6);
  }
  m_fleet->CutAll(seconds(3));
  m_fleet->SetLimit(4);
  m_fleet->Run(milliseconds(2900));
  for (std::size_t i = 0; i < 4; ++i) {
    DOUBLES_EQUAL(1, m_fleet->OwnPerSecond(i), 1e-9);
  }
}

TEST(EndpointLimits, AQuietTableCostsFewCommands)
{
  Start(9, 9, 30);
  m_fleet->SetLimit(12);
  m_fleet->Run(seconds(10));
  const std::size_t before = m_fleet->Commands();
  m_fleet->Run(seconds(10));
  // At most one in 400 ms for each of nine gateways.
  CHECK_COMPARE(m_fleet->Commands() - before, <=, std::size_t{ 225 });
}

TEST(EndpointLimits, AnAnswerToAnOlderRequestEndsNoLimit)
{
  TestCluster cluster;
  cluster.AddService("e1", "plain");
  const auto table = cluster.Build();
  const RunnerPtr runner(table->FindRunner("e1"));
  EndpointLimits limits("vm-1");
  const TimePoint now = kTestStart;
  limits.RecordNamed(now, runner, 2, 1);
  limits.RecordUnnamed(now + milliseconds(5), now - milliseconds(5), *runner);
  CHECK(runner->m_load->Quota().IsLimited());
  limits.RecordUnnamed(now + milliseconds(9), now + milliseconds(1), *runner);
  CHECK_FALSE(runner->m_load->Quota().IsLimited());
}

// Failure: the late answer took the place of what the new start had named, and
// the part of the limit stayed after its end.
TEST(EndpointLimits, ALateAnswerOfAnOlderStartSaysNothingOfTheNewOne)
{
  TestCluster cluster;
  state::EndpointT& record = cluster.AddService("e1", "plain");
  const auto before = cluster.Build();
  const RunnerPtr older(before->FindRunner("e1"));
  ++record.incarnation;
  const auto table = cluster.Build(before.get());
  const RunnerPtr newer(table->FindRunner("e1"));
  EndpointLimits limits("vm-1");
  const TimePoint now = kTestStart;
  limits.RecordNamed(now, newer, 2, 1);
  limits.RecordNamed(now, older, 5, 1);
  DOUBLES_EQUAL(2, newer->m_load->Quota().PerSecond(), 1e-9);
  limits.Apply(now, state::ConfigImageT{}, *table, 1);
  limits.RecordUnnamed(now + seconds(2), now + seconds(1), *newer);
  CHECK_FALSE(newer->m_load->Quota().IsLimited());
}

TEST(EndpointLimits, AProbeEndsOnlyALimitThatProbesWereTold)
{
  TestCluster cluster;
  cluster.AddService("e1", "plain");
  const auto table = cluster.Build();
  const RunnerPtr runner(table->FindRunner("e1"));
  EndpointLimits limits("vm-1");
  const RequestQuota& quota = runner->m_load->Quota();
  TimePoint now = kTestStart;
  limits.RecordProbe(now, now, runner, 2, 1);
  CHECK_FALSE(quota.IsLimited());

  limits.RecordNamed(now, runner, 2, 1);
  now += seconds(2);
  limits.RecordProbe(now, now - milliseconds(5), runner, std::nullopt, 1);
  CHECK(quota.IsLimited());

  limits.RecordProbe(now, now - milliseconds(5), runner, 4, 1);
  DOUBLES_EQUAL(4, quota.PerSecond(), 1e-9);
  now += seconds(2);
  limits.RecordProbe(now, now - milliseconds(5), runner, std::nullopt, 1);
  CHECK_FALSE(quota.IsLimited());
}

// An engine that has become a later stage of all paths answers probes only.
TEST(EndpointLimits, ALimitEndsThatNoAnswerNamesForLong)
{
  TestCluster cluster;
  cluster.AddService("e1", "plain");
  const auto table = cluster.Build();
  const RunnerPtr runner(table->FindRunner("e1"));
  EndpointLimits limits("vm-1");
  const RequestQuota& quota = runner->m_load->Quota();
  TimePoint now = kTestStart;
  limits.RecordNamed(now, runner, 2, 1);
  now += seconds(20);
  limits.RecordNamed(now, runner, 2, 1);
  now += seconds(20);
  limits.RecordProbe(now, now - milliseconds(5), runner, std::nullopt, 1);
  CHECK(quota.IsLimited());
  now += seconds(20);
  limits.RecordProbe(now, now - milliseconds(5), runner, std::nullopt, 1);
  CHECK_FALSE(quota.IsLimited());
}

// clang-format off
TEST_GROUP(RequestQuota)
{
  RequestQuota m_quota;
};
// clang-format on

TEST(RequestQuota, SavesUpOneRequestAndTheRateOfASecond)
{
  CHECK(m_quota.MayTake(kTestStart));
  m_quota.SetRate(kTestStart, 2);
  CHECK_FALSE(m_quota.MayTake(kTestStart));
  const TimePoint later = kTestStart + seconds(100);
  int taken = 0;
  while (m_quota.MayTake(later)) {
    m_quota.Take(later);
    ++taken;
  }
  CHECK_EQUAL(3, taken);
}

TEST(RequestQuota, TellsWhenTheNextRequestMayBeSent)
{
  m_quota.SetRate(kTestStart, 4);
  const TimePoint next = m_quota.NextAt(kTestStart);
  CHECK(next > kTestStart + milliseconds(249));
  CHECK(next < kTestStart + milliseconds(251));
  CHECK(m_quota.MayTake(next));
  m_quota.SetRate(kTestStart, 0);
  CHECK(m_quota.NextAt(kTestStart) == kTestStart + RequestQuota::kMaxWait);
}

TEST(RequestQuota, ARequestThatWasNotSentCostsNothing)
{
  m_quota.SetRate(kTestStart, 1);
  const TimePoint later = kTestStart + seconds(1);
  m_quota.Take(later);
  CHECK_FALSE(m_quota.MayTake(later));
  m_quota.GiveBack(later);
  CHECK(m_quota.MayTake(later));
}
