// Tests of which layers engines hold: at the start, after losses and returns.
#include <algorithm>

#include "Routing/EngineFleet.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

int
LeastHolders(const std::vector<LayoutHost>& aHosts, const std::string& aZone)
{
  const std::vector<int> counts = CountHolders(aHosts, aZone);
  return *std::min_element(counts.begin(), counts.end());
}

double
UsedMb(const LayeredModel& aModel, const LayoutHost& aHost)
{
  return aModel.m_layerMb * aHost.m_holds.Length();
}

LayoutHost&
Find(std::vector<LayoutHost>& aHosts, const std::string& aId)
{
  return *std::find_if(aHosts.begin(), aHosts.end(), [&](const auto& aHost) {
    return aHost.m_id == aId;
  });
}

} // namespace

// clang-format off
TEST_GROUP(LayerLayout)
{
  const LayeredModel m_model = MakeModel();
  const LayerLayout m_layout{};

  std::vector<LayoutHost> PlaceAll(const std::vector<EngineGroup>& aGroups)
  {
    std::vector<LayoutHost> hosts = MakeHosts(aGroups);
    ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
    return hosts;
  }
};
// clang-format on

TEST(LayerLayout, EveryZoneHoldsTheWholeModel)
{
  const auto hosts = PlaceAll(UsualGroups());
  CHECK_EQUAL(1, std::min(1, LeastHolders(hosts, "a")));
  CHECK_EQUAL(1, std::min(1, LeastHolders(hosts, "b")));
  CHECK_EQUAL(1, std::min(1, LeastHolders(hosts, "c")));
}

TEST(LayerLayout, NoEngineIsOrderedToHoldMoreThanItsMemory)
{
  for (const LayoutHost& host : PlaceAll(UsualGroups())) {
    CHECK(UsedMb(m_model, host) < m_model.FindKind(host.m_kind)->m_memoryMb);
  }
}

TEST(LayerLayout, EnginesKeepRoomForRequests)
{
  // 40,000 tokens of the layers held is the least that a zone works with.
  for (const LayoutHost& host : PlaceAll(UsualGroups())) {
    const double free =
      m_model.FindKind(host.m_kind)->m_memoryMb - UsedMb(m_model, host);
    const double tokenMb =
      m_model.m_tokenBytes / m_model.m_layers * host.m_holds.Length() / 1e6;
    CHECK(free / tokenMb >= 40'000);
  }
}

TEST(LayerLayout, ZonesTooSmallAloneMakeAChainTogether)
{
  const auto hosts = PlaceAll({ { "a", "small", 8 }, { "b", "small", 8 } });
  CHECK_EQUAL(1, LeastHolders(hosts, ""));
  CHECK_EQUAL(0, LeastHolders(hosts, "a"));
}

TEST(LayerLayout, AllIsHeldInOneZoneWithOneKind)
{
  const auto hosts = PlaceAll({ { "a", "middle", 20 } });
  CHECK(LeastHolders(hosts, "a") >= 1);
}

TEST(LayerLayout, NothingIsOrderedForAKindThatTheModelDoesNotKnow)
{
  auto hosts = MakeHosts({ { "a", "unknown", 3 } });
  CHECK_EQUAL(0U, m_layout.Plan(m_model, hosts).size());
}

TEST(LayerLayout, NothingChangesWhereAllIsHeld)
{
  const auto hosts = PlaceAll(UsualGroups());
  CHECK_EQUAL(0U, m_layout.Plan(m_model, hosts).size());
}

TEST(LayerLayout, ALostEnginesLayersAreTakenOverInItsZone)
{
  const auto hosts = PlaceAll(UsualGroups());
  for (const LayoutHost& lost : hosts) {
    auto left = hosts;
    std::erase_if(left,
                  [&](const auto& aHost) { return aHost.m_id == lost.m_id; });
    ApplyOrders(left, m_layout.Plan(m_model, left));
    CHECK_TEXT(LeastHolders(left, lost.m_zone) >= 1, lost.m_id.c_str());
    for (const LayoutHost& host : left) {
      CHECK(UsedMb(m_model, host) < m_model.FindKind(host.m_kind)->m_memoryMb);
    }
  }
}

TEST(LayerLayout, AFastEngineWithWorkIsNotMovedWhereANeighbourCanGrow)
{
  auto hosts = PlaceAll(UsualGroups());
  std::erase_if(hosts,
                [](const auto& aHost) { return aHost.m_id == "a-fast-1"; });
  for (const LayoutOrder& order : m_layout.Plan(m_model, hosts)) {
    const LayerSpan before = Find(hosts, order.m_id).m_holds;
    const bool keeps = order.m_span.m_first <= before.m_first &&
                       order.m_span.m_end >= before.m_end;
    const bool isFast = Find(hosts, order.m_id).m_kind == "fast";
    CHECK_TEXT(keeps || !isFast, order.m_id.c_str());
  }
}

TEST(LayerLayout, AnEngineThatComesBackEmptyGetsLayersAgain)
{
  auto hosts = PlaceAll(UsualGroups());
  LayoutHost& back = Find(hosts, "b-fast-0");
  back.m_incarnation = 2;
  back.m_holds = {};
  const auto orders = m_layout.Plan(m_model, hosts);
  CHECK_EQUAL(1U, orders.size());
  STRCMP_EQUAL("b-fast-0", orders.front().m_id.c_str());
  CHECK_EQUAL(2U, orders.front().m_incarnation);
  ApplyOrders(hosts, orders);
  CHECK_EQUAL(1, std::min(1, LeastHolders(hosts, "b")));
}

TEST(LayerLayout, ASecondLossInTheSameZoneIsBorneToo)
{
  auto hosts = PlaceAll(UsualGroups());
  for (const char* lost : { "a-fast-0", "a-middle-2" }) {
    std::erase_if(hosts, [&](const auto& aHost) { return aHost.m_id == lost; });
    ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
    CHECK_TEXT(LeastHolders(hosts, "a") >= 1, lost);
  }
}
