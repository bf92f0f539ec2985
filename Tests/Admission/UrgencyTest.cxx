// Tests of the urgency of requests and its levels.
#include "Admission/UrgencyScale.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

RouteRule
MakeRoute(const std::string& aName, std::uint32_t aPriority)
{
  RouteRule route;
  route.m_name = aName;
  route.m_host = "one.example";
  route.m_prefix = "/" + aName + "/";
  route.m_timeout = std::chrono::seconds(1);
  route.m_priority = aPriority;
  route.m_services = { { "model", 1 } };
  return route;
}

AccountRule
MakeAccount(const std::string& aName, std::optional<std::uint32_t> aPriority)
{
  return { aName, { "key-" + aName }, aPriority };
}

UrgencyScale
MakeScale(std::vector<RouteRule> aRoutes, std::vector<AccountRule> aAccounts)
{
  RoutingDraft draft;
  draft.m_services = { { "model", {}, 0, std::nullopt },
                       { "other", {}, 0, std::nullopt } };
  draft.m_routes = std::move(aRoutes);
  draft.m_hasAccounts = !aAccounts.empty();
  draft.m_accounts = std::move(aAccounts);
  RoutingReason reason;
  const auto config = RoutingConfig::Build(std::move(draft), reason);
  CHECK_TEXT(config, reason.m_text.c_str());
  return { *config, "model" };
}

} // namespace

TEST_GROUP(Urgency){};

TEST(Urgency, TheAccountsRankTakesPrecedenceOverTheRoutes)
{
  const RouteRule urgentRoute = MakeRoute("a", 0);
  const RouteRule slowRoute = MakeRoute("b", 2);
  const AccountRule first = MakeAccount("x", 0);
  const AccountRule second = MakeAccount("y", 1);
  const AccountRule none = MakeAccount("z", std::nullopt);
  CHECK(UrgencyOf(slowRoute, &first) < UrgencyOf(urgentRoute, &second));
  CHECK(UrgencyOf(urgentRoute, &first) < UrgencyOf(slowRoute, &first));
  CHECK(UrgencyOf(urgentRoute, &none) < UrgencyOf(urgentRoute, &second));
  CHECK(UrgencyOf(slowRoute, &none) == UrgencyOf(slowRoute, nullptr));
}

TEST(Urgency, ARankOutsideTheRangeCountsAsTheLeastUrgent)
{
  const AccountRule account = MakeAccount("x", 4000000);
  CHECK(UrgencyOf(MakeRoute("a", 10), nullptr) ==
        UrgencyOf(MakeRoute("a", 9), nullptr));
  CHECK_EQUAL(kLeastUrgentRank, UrgencyOf(MakeRoute("a", 1), &account).m_first);
}

TEST(Urgency, ServicesWithOneRankAreNotGraded)
{
  CHECK_FALSE(UrgencyScale().IsGraded());
  CHECK_EQUAL(0U, UrgencyScale().LevelOf({ 3, 3 }));
  CHECK_FALSE(
    MakeScale({ MakeRoute("a", 1), MakeRoute("b", 1) }, {}).IsGraded());
  CHECK_FALSE(
    MakeScale({ MakeRoute("a", 9), MakeRoute("b", 12) }, {}).IsGraded());
  RouteRule other = MakeRoute("b", 2);
  other.m_services = { { "other", 1 }, { "model", 0 } };
  CHECK_FALSE(MakeScale({ MakeRoute("a", 1), other }, {}).IsGraded());
  CHECK_FALSE(MakeScale({ MakeRoute("a", 1) },
                        { MakeAccount("x", 1), MakeAccount("y", {}) })
                .IsGraded());
}

TEST(Urgency, TheLevelsAreTheDistinctUrgenciesInOrder)
{
  const UrgencyScale scale = MakeScale(
    { MakeRoute("a", 2), MakeRoute("b", 0), MakeRoute("c", 2) },
    { MakeAccount("x", 1), MakeAccount("y", 1), MakeAccount("z", {}) });
  // The account without a rank on both routes, the others on both routes.
  CHECK_EQUAL(4U, scale.Count());
  CHECK_EQUAL(0U, scale.LevelOf({ 0, 0 }));
  CHECK_EQUAL(1U, scale.LevelOf({ 1, 0 }));
  CHECK_EQUAL(2U, scale.LevelOf({ 1, 2 }));
  CHECK_EQUAL(3U, scale.LevelOf({ 2, 2 }));
  // Of an earlier configuration.
  CHECK_EQUAL(1U, scale.LevelOf({ 0, 5 }));
  CHECK_EQUAL(3U, scale.LevelOf({ 7, 7 }));
}
