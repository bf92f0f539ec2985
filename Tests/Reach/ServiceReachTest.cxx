// Tests of the decision whether a VM reaches the endpoints of a service.
#include "Reach/ServiceReach.h"

#include <string>

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000)) + std::chrono::milliseconds(aMs);
}

std::vector<RunnerPtr>
MakeEndpoints(int aCount)
{
  std::vector<RunnerPtr> endpoints;
  for (int i = 0; i < aCount; ++i) {
    boost::intrusive_ptr<Runner> endpoint(new Runner);
    endpoint->m_id = "e-" + std::to_string(i);
    endpoint->m_load.reset(new RunnerLoad);
    endpoint->m_load->RecordReached(At(0));
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

} // namespace

// clang-format off
TEST_GROUP(ServiceReach)
{
  std::vector<RunnerPtr> m_endpoints = MakeEndpoints(38);
  ServiceReach m_reach;

  void Miss(int aEndpoint, int aMs)
  {
    m_endpoints[aEndpoint]->m_load->RecordUnreached(At(aMs));
    m_reach.RecordAttempt(At(aMs));
  }
  // Three endpoints are tried in vain.
  void LoseLinks(int aMs)
  {
    Miss(0, aMs);
    Miss(1, aMs);
    Miss(2, aMs);
    CHECK(m_reach.Update(At(aMs + 1), m_endpoints));
  }
  // Returns how many trials in succession it takes to come back.
  int CountReturnTrials(int aMs)
  {
    int trials = 1;
    while (!m_reach.RecordTrial(At(aMs), true)) {
      ++trials;
    }
    return trials;
  }
};
// clang-format on

TEST(ServiceReach, ThreeEndpointsInVainAndNoContactMeanLostLinks)
{
  Miss(0, 100);
  Miss(1, 101);
  CHECK_FALSE(m_reach.Update(At(102), m_endpoints));
  Miss(2, 102);
  CHECK(m_reach.Update(At(103), m_endpoints));
  CHECK(m_reach.IsUnreached());
  CHECK_EQUAL(3U, m_reach.Evidence().m_unreached);
  CHECK_EQUAL(38U, m_reach.Evidence().m_listed);
}

// Failure: four engines crash at the same moment.
TEST(ServiceReach, EnginesThatEndTogetherAreNotLostLinks)
{
  for (int i = 0; i < 4; ++i) {
    Miss(i, 100);
  }
  m_endpoints[9]->m_load->RecordAnswer(At(101));
  CHECK_FALSE(m_reach.Update(At(102), m_endpoints));
}

// A probe that was sent before the last answers of the others says nothing.
TEST(ServiceReach, AnAttemptFromBeforeTheLastContactIsNoEvidence)
{
  for (int i = 0; i < 4; ++i) {
    Miss(i, 100);
  }
  m_endpoints[9]->m_load->RecordAnswer(At(100));
  CHECK_FALSE(m_reach.Update(At(140), m_endpoints));
}

TEST(ServiceReach, AServiceWithFewerEndpointsIsLostWithAllOfThem)
{
  m_endpoints = MakeEndpoints(2);
  Miss(0, 100);
  CHECK_FALSE(m_reach.Update(At(101), m_endpoints));
  Miss(1, 101);
  CHECK_FALSE(m_reach.Update(At(102), m_endpoints));
  Miss(1, 102);
  CHECK(m_reach.Update(At(103), m_endpoints));
}

// Failure: one probe of the only engine of a small fleet is lost.
TEST(ServiceReach, AnOnlyEndpointIsTriedAgainFirst)
{
  m_endpoints = MakeEndpoints(1);
  Miss(0, 100);
  CHECK_FALSE(m_reach.Update(At(101), m_endpoints));
  CHECK(m_reach.TakeTrial(At(101), m_endpoints) != nullptr);
  m_endpoints[0]->m_load->RecordReached(At(102));
  CHECK_FALSE(m_reach.RecordTrial(At(102), true));
  CHECK_FALSE(m_reach.Update(At(103), m_endpoints));
  CHECK(m_reach.TakeTrial(At(160), m_endpoints) == nullptr);
}

TEST(ServiceReach, OldEvidenceCountsNoMore)
{
  Miss(0, 100);
  Miss(1, 100);
  Miss(2, 2200);
  CHECK_FALSE(m_reach.Update(At(2201), m_endpoints));
}

// Failure: a runner falls silent for a second and goes on.
TEST(ServiceReach, ASilentEndpointIsNoCut)
{
  m_reach.RecordWaiting(At(100));
  int trials = 0;
  for (int ms = 100; ms < 1100; ms += 15) {
    m_endpoints[5]->m_load->RecordAnswer(At(ms));
    CHECK_FALSE(m_reach.Update(At(ms), m_endpoints));
    trials += m_reach.TakeTrial(At(ms), m_endpoints) ? 1 : 0;
  }
  CHECK_EQUAL(0, trials);
}

// Failure: connections hang, so that nothing fails for a long time.
TEST(ServiceReach, SilenceOfAllEndpointsIsTriedOutWithinATenthOfTheWindow)
{
  m_reach.RecordWaiting(At(100));
  int lostAt = 0;
  for (int ms = 100; ms < 3000 && lostAt == 0; ms += 15) {
    if (RunnerPtr endpoint = m_reach.TakeTrial(At(ms), m_endpoints)) {
      endpoint->m_load->RecordUnreached(At(ms));
      CHECK_FALSE(m_reach.RecordTrial(At(ms), false));
    }
    lostAt = m_reach.Update(At(ms), m_endpoints) ? ms : 0;
  }
  CHECK(lostAt != 0);
  CHECK(lostAt < 100 + 3000 / 10);
}

TEST(ServiceReach, TheReturnTakesSeveralTrialsInSuccession)
{
  LoseLinks(100);
  CHECK_FALSE(m_reach.RecordTrial(At(200), true));
  CHECK_FALSE(m_reach.RecordTrial(At(300), true));
  CHECK_FALSE(m_reach.RecordTrial(At(400), false));
  CHECK_EQUAL(3, CountReturnTrials(500));
  CHECK_FALSE(m_reach.IsUnreached());
}

// Failure: links that are lost again and again.
TEST(ServiceReach, FlappingLinksAreTrustedLater)
{
  int last = 0;
  for (int i = 0; i < 4; ++i) {
    LoseLinks(1000 * (i + 1));
    const int trials = CountReturnTrials(1000 * (i + 1) + 500);
    CHECK(trials >= last);
    last = trials;
  }
  CHECK_EQUAL(12, last);
  LoseLinks(60'000);
  CHECK_EQUAL(3, CountReturnTrials(60'100));
}

TEST(ServiceReach, TheReturnIsNoticedWithinASecond)
{
  LoseLinks(100);
  int returnedAt = 0;
  for (int ms = 5000; ms < 7000 && returnedAt == 0; ms += 15) {
    if (m_reach.TakeTrial(At(ms), m_endpoints) &&
        m_reach.RecordTrial(At(ms), true)) {
      returnedAt = ms;
    }
  }
  CHECK(returnedAt != 0);
  CHECK(returnedAt < 6000);
}

TEST(ServiceReach, AReportNeedsAnotherEndpointThatWasReachedSince)
{
  const Runner& failed = *m_endpoints[0];
  CHECK_FALSE(ServiceReach::HasWitness(failed, At(0), m_endpoints));
  m_endpoints[0]->m_load->RecordReached(At(10));
  CHECK_FALSE(ServiceReach::HasWitness(failed, At(5), m_endpoints));
  m_endpoints[1]->m_load->RecordReached(At(6));
  CHECK(ServiceReach::HasWitness(failed, At(5), m_endpoints));
}

TEST(ServiceReach, NothingIsCheckedWhileAllIsWell)
{
  CHECK_FALSE(m_reach.NeedsCheck(At(0)));
  CHECK(m_reach.TakeTrial(At(0), m_endpoints) == nullptr);
}
