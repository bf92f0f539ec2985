// Tests of the lease tables of leader and replicas.
#include "State/EndpointLeaseTable.h"
#include "State/GatewayLeaseTable.h"

#include "State/Commands.h"
#include "State/ConfigState.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLease = 10s;
constexpr Duration kGoneAfter = 60s;

TimePoint
At(Duration aTime)
{
  return TimePoint(1h + aTime);
}

} // namespace

TEST_GROUP(EndpointLeaseTable)
{
  ConfigState m_config;
  EndpointLeaseTable m_table{ kLease };
  std::uint64_t m_index = 0;

  void Announce(const std::string& aId, std::uint64_t aIncarnation)
  {
    m_config.Apply(++m_index, MakeAnnounce(MakeEngine(aId, aIncarnation)));
  }
  // Calls as often as the table asks for.
  std::size_t CountExpired(Duration aFrom, Duration aTo)
  {
    std::size_t count = 0;
    for (Duration time = aFrom; time <= aTo; time += 1s) {
      count += m_table.TakeExpired(At(time)).endpoints.size();
    }
    return count;
  }
};

TEST(EndpointLeaseTable, ALostZoneIsDroppedAtOnce)
{
  for (int count = 0; count < 140; ++count) {
    Announce("lost-" + std::to_string(count), 1);
  }
  Announce("alive", 1);
  m_table.Start(At(0s), m_config.Image());
  CHECK_EQUAL(0, CountExpired(0s, 5s));
  m_table.Renew(At(5s), { MakeRef("alive", 1) });
  CHECK_EQUAL(0, CountExpired(6s, 9s));
  CHECK_EQUAL(140, m_table.TakeExpired(At(10s)).endpoints.size());
  // The proposal may have been lost: again, but not at each call.
  CHECK_EQUAL(0, CountExpired(11s, 14s));
}

TEST(EndpointLeaseTable, RenewalsOfAnotherIncarnationDoNotCount)
{
  Announce("e", 2);
  m_table.Start(At(0s), m_config.Image());
  CHECK_EQUAL(0, CountExpired(0s, 5s));
  m_table.Renew(At(5s), { MakeRef("e", 1), MakeRef("unknown", 1) });
  CHECK_EQUAL(1, CountExpired(6s, 10s));
  Announce("e", 3);
  m_table.Follow(At(11s), m_config.Image());
  CHECK_EQUAL(0, CountExpired(11s, 20s));
  CHECK_EQUAL(1, CountExpired(21s, 21s));
}

TEST(EndpointLeaseTable, ANewLeaderStartsAllLeases)
{
  Announce("e", 1);
  m_table.Start(At(0s), m_config.Image());
  m_table.Start(At(100s), m_config.Image());
  CHECK_EQUAL(0, CountExpired(100s, 109s));
  CHECK_EQUAL(1, CountExpired(110s, 110s));
}

TEST(EndpointLeaseTable, ThePauseOfTheLeaderIsNotTheEndpointsSilence)
{
  Announce("e", 1);
  m_table.Start(At(0s), m_config.Image());
  CHECK_EQUAL(0, CountExpired(0s, 4s));
  CHECK_EQUAL(0, m_table.TakeExpired(At(30s)).endpoints.size());
  CHECK_EQUAL(0, CountExpired(31s, 39s));
  CHECK_EQUAL(1, CountExpired(40s, 40s));
}

TEST_GROUP(GatewayLeaseTable)
{
  GatewayLeaseTable m_table{ kLease, kGoneAfter };

  void Greet(Duration aTime, std::uint64_t aEpoch)
  {
    feed::HelloT hello;
    hello.vm = "A";
    hello.epoch = aEpoch;
    m_table.Greet(At(aTime), hello);
  }
  std::optional<Duration> Ping(
    Duration aTime, std::uint64_t aIndex, std::uint64_t aEpoch = 1)
  {
    feed::PingT ping;
    ping.applied_index = aIndex;
    return m_table.Grant(At(aTime), "A", aEpoch, ping);
  }
};

TEST(GatewayLeaseTable, GrantsNoLongerThanItsOwnConfirmation)
{
  Greet(0s, 1);
  CHECK_FALSE(Ping(0s, 5).has_value());
  m_table.ConfirmRead(At(3s), At(1s), 5);
  CHECK_TRUE(Duration(6s) == *Ping(5s, 5));
  CHECK_FALSE(Ping(11s, 5).has_value());
  CHECK_EQUAL(0, m_table.CountLive(At(11s)));
}

TEST(GatewayLeaseTable, AGatewayThatLagsBehindAReportGetsNoLease)
{
  m_table.TakeReport(At(0s), 8);
  m_table.ConfirmRead(At(20s), At(20s), 5);
  CHECK_EQUAL(8, m_table.TakeReport(At(21s), 8));
  Greet(21s, 1);
  CHECK_FALSE(Ping(21s, 7).has_value());
  CHECK_TRUE(Ping(21s, 8).has_value());
  CHECK_EQUAL(8, m_table.MinAppliedIndex(At(22s), 9));
}

TEST(GatewayLeaseTable, ReportsNothingWhileEarlierLeasesMayRun)
{
  CHECK_EQUAL(0, m_table.TakeReport(At(0s), 8));
  CHECK_EQUAL(0, m_table.TakeReport(At(10s), 8));
  CHECK_EQUAL(8, m_table.TakeReport(At(11s), 8));
}

TEST(GatewayLeaseTable, AfterASilenceGatewaysMustCatchUp)
{
  Greet(0s, 1);
  m_table.ConfirmRead(At(0s), At(0s), 5);
  CHECK_TRUE(Ping(1s, 5).has_value());
  m_table.ConfirmRead(At(11s), At(9s), 20);
  CHECK_FALSE(Ping(12s, 19).has_value());
  CHECK_TRUE(Ping(12s, 20).has_value());
}

TEST(GatewayLeaseTable, FindsProcessesThatAreGoneForGood)
{
  Greet(0s, 1);
  m_table.ConfirmRead(At(0s), At(0s), 5);
  Ping(1s, 5);
  CHECK_TRUE(m_table.FindGone(At(69s), 7).empty());
  CHECK_EQUAL(1, m_table.FindGone(At(70s), 7).size());
  m_table.Forget("A", 1);
  CHECK_TRUE(m_table.List().empty());
}

TEST(GatewayLeaseTable, ARestartEndsTheEarlierProcess)
{
  Greet(0s, 2);
  Greet(1s, 1);
  CHECK_TRUE(m_table.FindGone(At(1s), 7).empty());
  Greet(2s, 3);
  const auto gone = m_table.FindGone(At(2s), 7);
  CHECK_EQUAL(1, gone.size());
  CHECK_EQUAL(2, gone[0].gateway_epoch);
  m_table.ConfirmRead(At(2s), At(2s), 0);
  CHECK_FALSE(Ping(3s, 5, 2).has_value());
  CHECK_TRUE(Ping(3s, 5, 3).has_value());
  m_table.Forget("A", 2);
  CHECK_TRUE(m_table.FindGone(At(3s), 7).empty());
}
