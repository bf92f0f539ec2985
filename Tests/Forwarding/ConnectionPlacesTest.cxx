// Tests which connection is given up when a listener holds as many as it may.
#include "Forwarding/ConnectionPlaces.h"

#include <deque>

#include "Forwarding/ForwardFixture.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::size_t kLimit = 4;

struct TestHolder final : ConnectionPlaces::Holder
{
  bool HasInput() const override { return m_hasInput; }
  void OnGivenUp() override { m_isGivenUp = true; }

  bool m_hasInput = false;
  bool m_isGivenUp = false;
  std::unique_ptr<ConnectionPlaces::Place> m_place;
};

} // namespace

// clang-format off
TEST_GROUP(ConnectionPlaces)
{
  std::vector<PlaceLoss> m_losses;
  std::shared_ptr<ConnectionPlaces> m_places = std::make_shared<ConnectionPlaces>(
    kLimit, [this](PlaceLoss aLoss, TimePoint) { m_losses.push_back(aLoss); });
  TimePoint m_now{ std::chrono::seconds(100) };
  std::deque<TestHolder> m_holders;

  // Opens a connection that awaits its first request.
  TestHolder& Open()
  {
    TestHolder& holder = m_holders.emplace_back();
    holder.m_place = m_places->Take(m_now);
    if (holder.m_place) {
      holder.m_place->SetHolder(holder);
      holder.m_place->SetReading(m_now);
    }
    return holder;
  }
  void Pass(int aMs) { m_now += std::chrono::milliseconds(aMs); }
  void teardown() override { m_holders.clear(); m_places.reset(); }
};
// clang-format on

TEST(ConnectionPlaces, GivesUpNoneBelowTheLimit)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    CHECK(Open().m_place != nullptr);
    Pass(5000);
  }
  CHECK(m_losses.empty());
}

TEST(ConnectionPlaces, GivesUpTheOneThatStalledLongestBeforeAnIdleOne)
{
  TestHolder& idle = Open();
  idle.m_place->SetServed();
  idle.m_place->SetIdle(m_now);
  Pass(100);
  TestHolder& oldest = Open();
  Pass(100);
  TestHolder& older = Open();
  TestHolder& served = Open();
  served.m_place->SetServed();
  Pass(1000);
  CHECK(Open().m_place != nullptr);
  CHECK_TRUE(oldest.m_isGivenUp);
  CHECK_FALSE(older.m_isGivenUp);
  CHECK_FALSE(idle.m_isGivenUp);
  CHECK(Open().m_place != nullptr);
  CHECK_TRUE(older.m_isGivenUp);
  CHECK(Open().m_place != nullptr);
  CHECK_TRUE(idle.m_isGivenUp);
  CHECK_FALSE(served.m_isGivenUp);
  CHECK_EQUAL(kLimit, m_places->Held());
}

TEST(ConnectionPlaces, AFewBytesAreNoProgress)
{
  TestHolder& trickling = Open();
  TestHolder& moving = Open();
  for (int i = 0; i < 11; ++i) {
    Pass(100);
    trickling.m_place->AddReceived(1, m_now);
    moving.m_place->AddReceived(ConnectionPlaces::kProgressBytes, m_now);
  }
  Open();
  Open();
  CHECK(Open().m_place != nullptr);
  CHECK_TRUE(trickling.m_isGivenUp);
  CHECK_FALSE(moving.m_isGivenUp);
  CHECK(m_losses == std::vector<PlaceLoss>{ PlaceLoss::Stalled });
}

TEST(ConnectionPlaces, GivesUpASlowRequestBeforeItTurnsANewConnectionAway)
{
  TestHolder& slow = Open();
  Pass(300);
  for (std::size_t i = 1; i < kLimit; ++i) {
    Open();
  }
  CHECK(Open().m_place != nullptr);
  CHECK_TRUE(slow.m_isGivenUp);
  CHECK(m_losses == std::vector<PlaceLoss>{ PlaceLoss::Slow });
}

TEST(ConnectionPlaces, NeverGivesUpARequestThatIsServed)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    Open().m_place->SetServed();
  }
  Pass(60'000);
  CHECK(Open().m_place == nullptr);
  CHECK(m_losses == std::vector<PlaceLoss>{ PlaceLoss::TurnedAway });
  for (std::size_t i = 0; i < kLimit; ++i) {
    CHECK_FALSE(m_holders[i].m_isGivenUp);
  }
}

TEST(ConnectionPlaces, ConnectionsThatAreNewAreNotGivenUpForNewerOnes)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    Open();
  }
  Pass(50);
  CHECK(Open().m_place == nullptr);
}

TEST(ConnectionPlaces, AfterAPauseARequestThatHasArrivedIsReadAndNotGivenUp)
{
  TestHolder& arrived = Open();
  arrived.m_hasInput = true;
  TestHolder& silent = Open();
  Open();
  Open();
  Pass(5000);
  CHECK(Open().m_place != nullptr);
  CHECK_FALSE(arrived.m_isGivenUp);
  CHECK_TRUE(silent.m_isGivenUp);
}

TEST(ConnectionPlaces, ARequestOfAConnectionThatWasGivenUpIsNotServed)
{
  TestHolder& givenUp = Open();
  TestHolder& served = Open();
  CHECK(served.m_place->SetServed());
  Pass(1000);
  CHECK(m_places->GiveUpOne(m_now));
  givenUp.m_place->AddReceived(1000, m_now);
  CHECK_FALSE(givenUp.m_place->SetServed());
  CHECK(served.m_place->SetServed());
}

TEST(ConnectionPlaces, AConnectionThatEndsGivesItsPlaceBack)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    Open().m_place->SetServed();
  }
  m_holders.front().m_place->Leave();
  m_holders.front().m_place.reset();
  CHECK_EQUAL(kLimit - 1, m_places->Held());
  CHECK(Open().m_place != nullptr);
}

TEST(ConnectionPlaces, IsShortOnceMostAreTurnedAwayForTwoSeconds)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    Open().m_place->SetServed();
  }
  CHECK_FALSE(m_places->IsShort(m_now));
  for (int i = 0; i < 20; ++i) {
    Open();
    CHECK_FALSE(m_places->IsShort(m_now));
    Pass(100);
  }
  CHECK_TRUE(m_places->IsShort(m_now));
}

TEST(ConnectionPlaces, IsNotShortAfterOneBurst)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    Open().m_place->SetServed();
  }
  for (int i = 0; i < 500; ++i) {
    Open();
    Pass(1);
  }
  for (int i = 0; i < 10; ++i) {
    Pass(500);
    CHECK_FALSE(m_places->IsShort(m_now));
  }
}

TEST(ConnectionPlaces, StaysShortUntilPlacesCouldBeGivenForThreeSeconds)
{
  for (std::size_t i = 0; i < kLimit; ++i) {
    Open().m_place->SetServed();
  }
  for (int i = 0; i < 30; ++i) {
    Open();
    Pass(100);
  }
  // Nobody comes while the VM says that it is not ready, but all places are
  // still taken.
  for (int i = 0; i < 10; ++i) {
    Pass(1000);
    CHECK_TRUE(m_places->IsShort(m_now));
  }
  m_holders.front().m_place->SetIdle(m_now);
  Pass(2000);
  CHECK_TRUE(m_places->IsShort(m_now));
  Pass(1000);
  CHECK_FALSE(m_places->IsShort(m_now));
}

TEST(ConnectionPlaces, LeavesDescriptorsForEndpointsAndControlVms)
{
  CHECK_EQUAL(3000U, LimitByDescriptors(3000, 4100));
  CHECK_EQUAL(768U, LimitByDescriptors(3000, 1024));
  CHECK_EQUAL(64U, LimitByDescriptors(64, 1024));
}
