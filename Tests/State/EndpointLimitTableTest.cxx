// Tests of the division of an endpoint's limit among the gateways.
#include "State/EndpointLimitTable.h"

#include <memory>
#include <string>
#include <vector>

#include "State/CommandCodec.h"
#include "State/Commands.h"
#include "State/ReplicatedState.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;

namespace {

constexpr std::uint64_t kStartMs = 1'000'000;

state::CommandT
MakeClaim(const std::string& aGateway,
          state::LimitNotice aNotice,
          std::uint64_t aPer1000s,
          std::uint32_t aDemand,
          std::uint64_t aUnixMs,
          std::uint64_t aIncarnation = 1)
{
  state::ClaimEndpointLimitsT claims;
  claims.gateway = aGateway;
  claims.unix_ms = aUnixMs;
  auto claim = std::make_unique<state::LimitClaimT>();
  claim->endpoint = std::make_unique<state::EndpointRefT>();
  claim->endpoint->id = "e1";
  claim->endpoint->incarnation = aIncarnation;
  claim->notice = aNotice;
  claim->per_1000_s = aPer1000s;
  claim->demand = aDemand;
  claims.claims.push_back(std::move(claim));
  return MakeCommand(std::move(claims));
}

} // namespace

// clang-format off
TEST_GROUP(EndpointLimitTable)
{
  ReplicatedState m_state;
  std::uint64_t m_index = 0;

  void setup() override { AnnounceStart(1); }
  void AnnounceStart(std::uint64_t aIncarnation)
  {
    CHECK(Apply(MakeAnnounce(MakeEngine("e1", aIncarnation))) ==
          state::ResultCode::Ok);
  }
  state::ResultCode Apply(const state::CommandT& aCommand)
  {
    return m_state.Apply(++m_index, 1, aCommand).code;
  }
  state::ResultCode Name(const std::string& aGateway, std::uint64_t aPer1000s,
                         std::uint32_t aDemand)
  {
    return Apply(MakeClaim(aGateway, state::LimitNotice::Named, aPer1000s,
                           aDemand, kStartMs));
  }
  state::ResultCode Ask(const std::string& aGateway, std::uint32_t aDemand,
                        std::uint64_t aUnixMs = kStartMs)
  {
    return Apply(MakeClaim(aGateway, state::LimitNotice::None, 0, aDemand,
                           aUnixMs));
  }
  const state::EndpointLimitT& Limit() const
  {
    return *m_state.Config().endpoint_limits.at(0);
  }
};
// clang-format on

TEST(EndpointLimitTable, PartsFollowTheDemandAndAddUpToOne)
{
  CHECK(Name("vm-1", 9000, 1000) == state::ResultCode::Ok);
  DOUBLES_EQUAL(1, LimitFractionOf(Limit(), "vm-1"), 1e-9);
  CHECK(Ask("vm-2", 3000) == state::ResultCode::Ok);
  const double one = LimitFractionOf(Limit(), "vm-1");
  const double two = LimitFractionOf(Limit(), "vm-2");
  DOUBLES_EQUAL(1, one + two, 1e-9);
  CHECK(two > 1.5 * one);
  DOUBLES_EQUAL(0, LimitFractionOf(Limit(), "vm-3"), 0);
}

TEST(EndpointLimitTable, AClaimForNoLimitOrAnOldStartChangesNothing)
{
  CHECK(Ask("vm-1", 1000) == state::ResultCode::Duplicate);
  CHECK(
    Apply(MakeClaim("vm-1", state::LimitNotice::Named, 9000, 1, kStartMs, 7)) ==
    state::ResultCode::Duplicate);
  CHECK(m_state.Config().endpoint_limits.empty());
  CHECK(Apply(MakeClaim("", state::LimitNotice::Named, 9000, 1, kStartMs)) ==
        state::ResultCode::Invalid);
}

TEST(EndpointLimitTable, ASmallLimitIsSharedByFewGateways)
{
  Name("vm-1", 500, 40);
  Ask("vm-2", 30);
  CHECK(Ask("vm-3", 35) == state::ResultCode::Duplicate);
  CHECK_EQUAL(2U, Limit().shares.size());
  // Only a much larger demand takes a share over, that of the smallest one.
  CHECK(Ask("vm-4", 400) == state::ResultCode::Ok);
  CHECK_EQUAL(2U, Limit().shares.size());
  CHECK(FindLimitShare(Limit(), "vm-2") == nullptr);
  CHECK(FindLimitShare(Limit(), "vm-4") != nullptr);
}

TEST(EndpointLimitTable, ASmallerLimitTakesTheSmallestSharesAway)
{
  Name("vm-1", 9000, 40);
  Ask("vm-2", 30);
  Ask("vm-3", 20);
  Name("vm-1", 100, 40);
  CHECK_EQUAL(2U, Limit().shares.size());
  CHECK(FindLimitShare(Limit(), "vm-3") == nullptr);
}

TEST(EndpointLimitTable, AShareEndsWithItsDemandOrItsTime)
{
  Name("vm-1", 500, 40);
  Ask("vm-2", 30);
  CHECK(Ask("vm-2", 0) == state::ResultCode::Ok);
  CHECK_EQUAL(1U, Limit().shares.size());
  Ask("vm-2", 30);
  const std::uint64_t later = kStartMs + kLimitShareLifetimeMs + 1;
  CHECK(Ask("vm-3", 10, later) == state::ResultCode::Ok);
  CHECK_EQUAL(1U, Limit().shares.size());
  CHECK(FindLimitShare(Limit(), "vm-3") != nullptr);
}

TEST(EndpointLimitTable, EndsWithTheEndpointsWordOrItsNextStart)
{
  Name("vm-1", 500, 40);
  CHECK(Apply(MakeClaim("vm-2", state::LimitNotice::Ended, 0, 0, kStartMs)) ==
        state::ResultCode::Ok);
  CHECK(m_state.Config().endpoint_limits.empty());
  Name("vm-1", 500, 40);
  AnnounceStart(2);
  CHECK(Ask("vm-1", 50) == state::ResultCode::Ok);
  CHECK(m_state.Config().endpoint_limits.empty());
}

TEST(EndpointLimitTable, ALimitOfZeroLetsAFewRequestsThrough)
{
  Name("vm-1", 0, 40);
  CHECK_EQUAL(kMinLimitPer1000s, Limit().per_1000_s);
}

TEST(EndpointLimitTable, IsPartOfASnapshot)
{
  Name("vm-1", 9000, 1000);
  Ask("vm-2", 3000);
  ReplicatedState restored;
  CHECK(restored.Restore(m_state.TakeImage()));
  CHECK_EQUAL(1U, restored.Config().endpoint_limits.size());
  DOUBLES_EQUAL(LimitFractionOf(Limit(), "vm-2"),
                LimitFractionOf(*restored.Config().endpoint_limits[0], "vm-2"),
                0);
}
