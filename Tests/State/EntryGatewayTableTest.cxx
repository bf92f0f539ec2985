// Tests of the list of VMs that take callers.
#include "State/EntryGatewayTable.h"

#include <memory>
#include <string>
#include <vector>

#include "State/CommandCodec.h"
#include "State/ReplicatedState.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(EntryGatewayTable)
{
  ReplicatedState m_state;
  std::uint64_t m_index = 0;

  static state::CommandT Announce(const std::string& aVm,
                                  std::uint64_t aUnixMs,
                                  std::vector<std::string> aUnreached = {})
  {
    state::AnnounceGatewayT announce;
    announce.gateway = std::make_unique<state::EntryGatewayT>();
    announce.gateway->vm = aVm;
    announce.gateway->zone = "zone-a";
    announce.gateway->address = "10.0.0.1";
    announce.gateway->port = 7340;
    announce.gateway->unreached = std::move(aUnreached);
    announce.unix_ms = aUnixMs;
    state::CommandT command;
    command.body.Set(std::move(announce));
    return command;
  }
  state::ResultCode Apply(const state::CommandT& aCommand)
  {
    return m_state.Apply(++m_index, 1, aCommand).code;
  }
  const auto& Listed() const { return m_state.Config().gateways; }
};
// clang-format on

TEST(EntryGatewayTable, HoldsWhatEachVmLastSaid)
{
  CHECK(Apply(Announce("vm-2", 1000)) == state::ResultCode::Ok);
  CHECK(Apply(Announce("vm-1", 1000)) == state::ResultCode::Ok);
  CHECK(Apply(Announce("vm-1", 1100, { "b", "a" })) == state::ResultCode::Ok);
  CHECK_EQUAL(2U, Listed().size());
  STRCMP_EQUAL("vm-1", Listed()[0]->vm.c_str());
  STRCMP_EQUAL("a", Listed()[0]->unreached[0].c_str());
}

TEST(EntryGatewayTable, SayingTheSameAgainChangesNothing)
{
  Apply(Announce("vm-1", 1000));
  CHECK(Apply(Announce("vm-1", 1000 + kGatewayRefreshMs - 1)) ==
        state::ResultCode::Duplicate);
  CHECK(Apply(Announce("vm-1", 1000 + kGatewayRefreshMs)) ==
        state::ResultCode::Ok);
}

TEST(EntryGatewayTable, StandsInForAnUnknownNumberOfGateways)
{
  CHECK_EQUAL(kAssumedGateways, EstimateGatewayCount(0, m_state.Config()));
  Apply(Announce("vm-1", 1000));
  Apply(Announce("vm-2", 1000));
  CHECK_EQUAL(2U, EstimateGatewayCount(0, m_state.Config()));
  CHECK_EQUAL(7U, EstimateGatewayCount(7, m_state.Config()));
}

TEST(EntryGatewayTable, AVmThatLeavesIsTakenOff)
{
  Apply(Announce("vm-1", 1000));
  state::CommandT leave = Announce("vm-1", 2000);
  leave.body.AsAnnounceGateway()->leaving = true;
  CHECK(Apply(leave) == state::ResultCode::Ok);
  CHECK(Listed().empty());
  CHECK(Apply(leave) == state::ResultCode::Duplicate);
}

TEST(EntryGatewayTable, AVmThatEndedWithoutAWordIsDroppedInTheEnd)
{
  Apply(Announce("vm-1", 1000));
  Apply(Announce("vm-2", 1000 + kGatewayLifetimeMs));
  CHECK_EQUAL(2U, Listed().size());
  Apply(Announce("vm-3", 1001 + kGatewayLifetimeMs));
  CHECK_EQUAL(2U, Listed().size());
  STRCMP_EQUAL("vm-2", Listed()[0]->vm.c_str());
}

TEST(EntryGatewayTable, WhatCannotBeUsedIsRefused)
{
  CHECK(Apply(Announce("", 1000)) == state::ResultCode::Invalid);
  CHECK(Apply(Announce(std::string(129, 'v'), 1000)) ==
        state::ResultCode::Invalid);
  state::CommandT noPort = Announce("vm-1", 1000);
  noPort.body.AsAnnounceGateway()->gateway->port = 0;
  CHECK(Apply(noPort) == state::ResultCode::Invalid);
  state::CommandT nobody = Announce("vm-1", 1000);
  nobody.body.AsAnnounceGateway()->gateway.reset();
  CHECK(Apply(nobody) == state::ResultCode::Invalid);
  CHECK(
    Apply(Announce("vm-1",
                   1000,
                   std::vector<std::string>(kMaxUnreachedServices + 1, "s"))) ==
    state::ResultCode::Invalid);
  CHECK(Listed().empty());
}

TEST(EntryGatewayTable, IsPartOfTheImage)
{
  Apply(Announce("vm-1", 1000, { "model" }));
  ReplicatedState copy;
  CHECK(copy.Restore(m_state.TakeImage()));
  CHECK_EQUAL(1U, copy.Config().gateways.size());
  STRCMP_EQUAL("model", copy.Config().gateways[0]->unreached[0].c_str());
}
