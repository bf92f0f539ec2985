// Tests routes, accounts and the rules that a configuration must follow.
#include "Routing/RoutingConfig.h"
#include "Routing/ServiceAims.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

RouteRule
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  RouteRule route;
  route.m_name = aName;
  route.m_host = "one.example";
  route.m_prefix = aPrefix;
  route.m_timeout = std::chrono::seconds(1);
  route.m_services = { { "service", 1 } };
  return route;
}

RoutingDraft
MakeDraft()
{
  RoutingDraft draft;
  draft.m_version = 3;
  draft.m_services.push_back({ "service", "/health", 10, std::nullopt });
  draft.m_routes = { MakeRoute("all", "/"), MakeRoute("long", "/a/b/") };
  draft.m_hasAccounts = true;
  draft.m_accounts = { { "first", { "k1", "k2" }, std::nullopt },
                       { "second", { "k3" }, 1 } };
  return draft;
}

std::string
Refusal(RoutingDraft aDraft)
{
  RoutingReason reason;
  CHECK_FALSE(RoutingConfig::Build(std::move(aDraft), reason));
  CHECK(reason.m_code == RoutingError::Invalid);
  return reason.m_text;
}

} // namespace

TEST_GROUP(RoutingConfig){};

TEST(RoutingConfig, FindsTheLongestPrefix)
{
  RoutingReason reason;
  const auto config = RoutingConfig::Build(MakeDraft(), reason);
  STRCMP_EQUAL("long",
               config->FindRoute("one.example", "/a/b/c")->m_name.c_str());
  STRCMP_EQUAL("all", config->FindRoute("one.example", "/a/b")->m_name.c_str());
  STRCMP_EQUAL("all", config->FindRoute("one.example", "/")->m_name.c_str());
  CHECK(config->FindRoute("two.example", "/") == nullptr);
  CHECK(config->FindRoute("one.example", "no-slash") == nullptr);
}

// Work that grows with the square of the path's length takes minutes here.
TEST(RoutingConfig, ALongPathCostsNoMoreThanTheLongestPrefix)
{
  RoutingDraft draft = MakeDraft();
  // Maps of few entries compare without hashing.
  for (int i = 0; i < 100; ++i) {
    const std::string name = "r" + std::to_string(i);
    draft.m_routes.push_back(MakeRoute(name, "/" + name + "/"));
  }
  RoutingReason reason;
  const auto config = RoutingConfig::Build(std::move(draft), reason);
  const std::string slashes(4UL * 1024 * 1024, '/');
  STRCMP_EQUAL("all",
               config->FindRoute("one.example", slashes)->m_name.c_str());
  STRCMP_EQUAL(
    "long", config->FindRoute("one.example", "/a/b" + slashes)->m_name.c_str());
}

TEST(RoutingConfig, FindsAccountsByTheirKeys)
{
  RoutingReason reason;
  const auto config = RoutingConfig::Build(MakeDraft(), reason);
  STRCMP_EQUAL("first", config->FindAccount("k2")->m_name.c_str());
  STRCMP_EQUAL("second", config->FindAccount("k3")->m_name.c_str());
  CHECK(config->FindAccount("k4") == nullptr);
}

TEST(RoutingConfig, RefusesAnUnknownService)
{
  RoutingDraft draft = MakeDraft();
  draft.m_routes[0].m_services = { { "other", 1 } };
  STRCMP_EQUAL("route \"all\": service \"other\" is unknown, expected a listed "
               "one",
               Refusal(std::move(draft)).c_str());
}

TEST(RoutingConfig, RefusesTwoRoutesAtOnePlace)
{
  RoutingDraft draft = MakeDraft();
  draft.m_routes[1].m_prefix = "/";
  STRCMP_EQUAL("route \"long\": host \"one.example\" with prefix \"/\" is "
               "taken, expected a unique pair",
               Refusal(std::move(draft)).c_str());
}

// Guards against a route that no request finds, since its host is written with
// capitals or a port.
TEST(RoutingConfig, FindsAHostInAnySpelling)
{
  for (const char* const written :
       { "one.example", "One.Example", "ONE.EXAMPLE", "one.example:8080" }) {
    RoutingDraft draft = MakeDraft();
    for (RouteRule& route : draft.m_routes) {
      route.m_host = written;
    }
    RoutingReason reason;
    const auto config = RoutingConfig::Build(std::move(draft), reason);
    for (const char* const asked :
         { "one.example", "One.Example", "one.EXAMPLE:80" }) {
      CHECK_TEXT(config->FindRoute(asked, "/a/b/c") != nullptr, asked);
    }
    CHECK(config->FindRoute("two.example", "/a/b/c") == nullptr);
  }
}

TEST(RoutingConfig, RefusesTwoRoutesAtOnePlaceWhateverTheirSpelling)
{
  RoutingDraft draft = MakeDraft();
  draft.m_routes[1].m_prefix = "/";
  draft.m_routes[1].m_host = "One.Example:80";
  STRCMP_EQUAL("route \"long\": host \"One.Example:80\" with prefix \"/\" is "
               "taken, expected a unique pair",
               Refusal(std::move(draft)).c_str());
}

// Guards against an upgrade that leaves the fleet without a configuration.
TEST(RoutingConfig, OfTwoSpellingsThatWereAcceptedTheComparedOneIsServed)
{
  for (const std::size_t first : { 0, 1 }) {
    RoutingDraft draft = MakeDraft();
    draft.m_routes[1].m_prefix = "/";
    draft.m_routes[first].m_host = "One.Example";
    const std::string served = draft.m_routes[1 - first].m_name;
    RoutingReason reason;
    const auto config =
      RoutingConfig::Build(std::move(draft), reason, DocumentOrigin::Accepted);
    STRCMP_EQUAL(served.c_str(),
                 config->FindRoute("one.example", "/")->m_name.c_str());
  }
  RoutingDraft equal = MakeDraft();
  equal.m_routes[1].m_prefix = "/";
  RoutingReason reason;
  CHECK(RoutingConfig::Build(
          std::move(equal), reason, DocumentOrigin::Accepted) == nullptr);
}

TEST(RoutingConfig, RefusesWeightsThatAddUpToNothing)
{
  RoutingDraft draft = MakeDraft();
  draft.m_routes[0].m_services = { { "service", 0 }, { "service", 0 } };
  STRCMP_EQUAL("route \"all\": weights add up to 0, expected more than 0",
               Refusal(std::move(draft)).c_str());
}

TEST(RoutingConfig, RefusesATimeoutOfNothing)
{
  RoutingDraft draft = MakeDraft();
  draft.m_routes[0].m_timeout = Duration::zero();
  STRCMP_EQUAL("route \"all\": time-out is 0, expected more than 0",
               Refusal(std::move(draft)).c_str());
}

TEST(RoutingConfig, RefusesAKeyThatTwoAccountsShare)
{
  RoutingDraft draft = MakeDraft();
  draft.m_accounts[1].m_keys.emplace_back("k1");
  STRCMP_EQUAL("account \"second\" shares a key with account \"first\", "
               "expected keys of its own",
               Refusal(std::move(draft)).c_str());
}

TEST(RoutingConfig, KnowsWhatMayBeRepeated)
{
  RouteRule route = MakeRoute("any", "/");
  CHECK_FALSE(route.CanRetry());
  route.m_kind = RequestKind::Safe;
  CHECK(route.CanRetry());
  route.m_kind = RequestKind::Streaming;
  CHECK_FALSE(route.CanRetry());
  route.m_isResumable = true;
  CHECK(route.CanRetry());
}

TEST(RoutingConfig, StreamsOfOneServiceHaveDifferentAimsByTargetOrPriority)
{
  RoutingDraft draft = MakeDraft();
  for (RouteRule& route : draft.m_routes) {
    route.m_kind = RequestKind::Streaming;
    route.m_target = std::chrono::milliseconds(500);
  }
  const auto find = [&] {
    RoutingReason reason;
    return FindServiceAims(*RoutingConfig::Build(draft, reason), "service");
  };
  CHECK_FALSE(find().m_isDifferentiated);
  draft.m_routes[1].m_priority = 2;
  CHECK_TRUE(find().m_isDifferentiated);
  draft.m_routes[1].m_priority = 0;
  draft.m_routes[1].m_target = std::chrono::seconds(1);
  CHECK_TRUE(find().m_isDifferentiated);
  CHECK(find().m_firstEvent == std::chrono::milliseconds(500));
  draft.m_routes[1].m_kind = RequestKind::Safe;
  CHECK_FALSE(find().m_isDifferentiated);
}
