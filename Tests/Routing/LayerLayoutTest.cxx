// Tests of which layers engines hold: at the start, after losses and returns.
#include <algorithm>
#include <string_view>

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

double
LeastKvCapacity(const std::vector<LayoutHost>& aHosts, const std::string& aZone)
{
  const LayeredModel model = MakeModel();
  double least = 1e9;
  for (const LayoutHost& host : aHosts) {
    if (host.m_zone == aZone) {
      const double tokenMb =
        model.m_tokenBytes / model.m_layers * host.m_holds.Length() / 1e6;
      const double free =
        model.FindKind(host.m_kind)->m_memoryMb - UsedMb(model, host);
      least = std::min(least, free / tokenMb);
    }
  }
  return least;
}

// Layers that the orders make engines load.
std::uint32_t
CountLoads(const std::vector<LayoutHost>& aHosts,
           const std::vector<LayoutOrder>& aOrders)
{
  std::uint32_t loads = 0;
  for (const LayoutOrder& order : aOrders) {
    const auto host =
      std::find_if(aHosts.begin(), aHosts.end(), [&](const LayoutHost& aHost) {
        return aHost.m_id == order.m_id;
      });
    const LayerSpan& holds = host->m_holds;
    const std::uint32_t first = std::max(holds.m_first, order.m_span.m_first);
    const std::uint32_t end = std::min(holds.m_end, order.m_span.m_end);
    loads += order.m_span.Length() - (end > first ? end - first : 0);
  }
  return loads;
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

// Load pattern: an engine crashes and comes back empty after some seconds. Its
// neighbours grew meanwhile, and the tightest engine of a chain decides how
// many streams the chain takes.
TEST(LayerLayout, AnEngineThatComesBackGivesTheZoneItsRoomAgain)
{
  const auto start = PlaceAll(UsualGroups());
  for (const LayoutHost& lost : start) {
    auto hosts = start;
    std::erase_if(hosts,
                  [&](const auto& aHost) { return aHost.m_id == lost.m_id; });
    ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
    LayoutHost back = lost;
    back.m_holds = {};
    ++back.m_incarnation;
    hosts.push_back(back);
    // Loads, and what can be given up once they are done.
    for (int round = 0; round < 4; ++round) {
      ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
      CHECK(LeastHolders(hosts, lost.m_zone) >= 1);
    }
    // Zone c has no memory to spare: its borders stay where the loss put them,
    // with room for its daily rate, 50 streams of 900 tokens.
    const double least =
      lost.m_zone == "c" ? 45'000 : LeastKvCapacity(start, lost.m_zone);
    CHECK_TEXT(LeastKvCapacity(hosts, lost.m_zone) >= least, lost.m_id.c_str());
    CHECK_EQUAL(0U, m_layout.Plan(m_model, hosts).size());
  }
}

TEST(LayerLayout, NothingIsGivenUpWhileAnEngineStillLoads)
{
  auto hosts = PlaceAll(UsualGroups());
  std::erase_if(hosts,
                [](const auto& aHost) { return aHost.m_id == "b-small-2"; });
  ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
  hosts.push_back({ "b-small-9", 1, "small", "b", {} });
  ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
  Find(hosts, "b-small-9").m_isReported = false;
  CHECK_EQUAL(0U, m_layout.Plan(m_model, hosts).size());
}

// Load pattern: a zone that just holds the model loses an engine for good. Its
// engines keep their order and load less than with a new layout.
TEST(LayerLayout, ATightZoneMovesItsBordersAfterALoss)
{
  const auto start = PlaceAll(UsualGroups());
  for (const char* lost : { "c-middle-1", "c-small-2", "c-fast-1" }) {
    auto hosts = start;
    std::erase_if(hosts, [&](const auto& aHost) { return aHost.m_id == lost; });
    const auto orders = m_layout.Plan(m_model, hosts);
    auto relaid = hosts;
    for (LayoutHost& host : relaid) {
      host.m_holds = host.m_zone == "c" ? LayerSpan{} : host.m_holds;
    }
    const auto newOrders = m_layout.Plan(m_model, relaid);
    // The loss of a fast engine is as large as all that the others can spare.
    const bool isFast = std::string_view(lost) == "c-fast-1";
    const std::uint32_t loads = CountLoads(hosts, orders);
    const std::uint32_t newLoads = CountLoads(hosts, newOrders);
    CHECK_TEXT(isFast ? loads <= newLoads : 2 * loads < newLoads, lost);
    ApplyOrders(hosts, orders);
    CHECK(LeastHolders(hosts, "c") >= 1);
  }
}

// Load pattern: an engine is lost while its zone still loads after another
// loss. Orders that cross each other emptied the zone for eight seconds.
TEST(LayerLayout, NoEngineWithLayersMovesWhileItsZoneLoads)
{
  auto hosts = PlaceAll(UsualGroups());
  std::erase_if(hosts,
                [](const auto& aHost) { return aHost.m_id == "b-small-2"; });
  const auto orders = m_layout.Plan(m_model, hosts);
  CHECK_FALSE(orders.empty());
  ApplyOrders(hosts, orders);
  Find(hosts, orders.front().m_id).m_isReported = false;
  Find(hosts, orders.front().m_id).m_isLoading = true;
  std::erase_if(hosts,
                [](const auto& aHost) { return aHost.m_id == "b-middle-0"; });
  CHECK_EQUAL(0U, m_layout.Plan(m_model, hosts).size());
  Find(hosts, orders.front().m_id).m_isReported = true;
  Find(hosts, orders.front().m_id).m_isLoading = false;
  ApplyOrders(hosts, m_layout.Plan(m_model, hosts));
  CHECK(LeastHolders(hosts, "b") >= 1);
}

// Load pattern: a crash of some seconds in a zone without memory to spare.
TEST(LayerLayout, BordersStayWhileALostEngineMayComeBack)
{
  auto hosts = PlaceAll(UsualGroups());
  std::erase_if(hosts,
                [](const auto& aHost) { return aHost.m_id == "c-fast-1"; });
  CHECK_EQUAL(0U, m_layout.Plan(m_model, hosts, false).size());
  CHECK(m_layout.Plan(m_model, hosts, true).size() > 3);
}
