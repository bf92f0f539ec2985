// Holds the routes, services and client accounts of one version of the
// configuration.
#include "Routing/RoutingConfig.h"

#include <algorithm>
#include <utility>

#include "Base/HostName.h"

namespace parsleycove {

namespace {

bool
Refuse(RoutingReason& aReason, std::string aText)
{
  aReason.Set(RoutingError::Invalid, std::move(aText));
  return false;
}

std::uint64_t
SumWeights(const RouteRule& aRoute)
{
  std::uint64_t sum = 0;
  for (const WeightedService& share : aRoute.m_services) {
    sum += share.m_weight;
  }
  return sum;
}

} // namespace

const AcceleratorKind*
LayeredModel::FindKind(std::string_view aName) const
{
  for (const AcceleratorKind& kind : m_kinds) {
    if (kind.m_name == aName) {
      return &kind;
    }
  }
  return nullptr;
}

RoutingConfig::RoutingConfig(RoutingDraft aDraft, DocumentOrigin aOrigin)
  : m_draft(std::move(aDraft))
  , m_origin(aOrigin)
{
}

boost::intrusive_ptr<const RoutingConfig>
RoutingConfig::Build(RoutingDraft aDraft,
                     RoutingReason& aReason,
                     DocumentOrigin aOrigin)
{
  boost::intrusive_ptr<RoutingConfig> config(
    new RoutingConfig(std::move(aDraft), aOrigin));
  if (!config->Index(aReason)) {
    return nullptr;
  }
  return config;
}

bool
RoutingConfig::Index(RoutingReason& aReason)
{
  for (const ServiceRule& service : m_draft.m_services) {
    if (!m_services.emplace(service.m_name, &service).second) {
      return Refuse(aReason,
                    "service \"" + service.m_name +
                      "\" is listed twice, expected unique names");
    }
  }
  return IndexRoutes(aReason) && IndexAccounts(aReason);
}

bool
RoutingConfig::IndexRoutes(RoutingReason& aReason)
{
  for (const RouteRule& route : m_draft.m_routes) {
    const std::string where = "route \"" + route.m_name + "\": ";
    for (const WeightedService& share : route.m_services) {
      if (FindService(share.m_service) == nullptr) {
        return Refuse(aReason,
                      where + "service \"" + share.m_service +
                        "\" is unknown, expected a listed one");
      }
    }
    if (SumWeights(route) == 0) {
      return Refuse(aReason,
                    where + "weights add up to 0, expected more than 0");
    }
    if (route.m_timeout <= Duration::zero()) {
      return Refuse(aReason, where + "time-out is 0, expected more than 0");
    }
    const bool isPrefix = !route.m_prefix.empty() &&
                          route.m_prefix.front() == '/' &&
                          route.m_prefix.back() == '/';
    if (!isPrefix) {
      return Refuse(aReason,
                    where + "prefix is \"" + route.m_prefix +
                      "\", expected it to begin and end with a slash");
    }
    m_longestPrefix = std::max(m_longestPrefix, route.m_prefix.size());
    if (!IndexRoute(route)) {
      return Refuse(aReason,
                    where + "host \"" + route.m_host + "\" with prefix \"" +
                      route.m_prefix + "\" is taken, expected a unique pair");
    }
  }
  return true;
}

bool
RoutingConfig::IndexRoute(const RouteRule& aRoute)
{
  const std::string host = NormalizeHost(aRoute.m_host);
  const auto [place, isNew] = m_hosts[host].emplace(aRoute.m_prefix, &aRoute);
  if (isNew) {
    return true;
  }
  // Releases that compared hosts as written accepted two routes whose hosts
  // differ in case only, and served the one in the form that is compared.
  const bool differ = place->second->m_host != aRoute.m_host;
  if (m_origin == DocumentOrigin::Offered || !differ) {
    return false;
  }
  if (aRoute.m_host == host) {
    place->second = &aRoute;
  }
  return true;
}

bool
RoutingConfig::IndexAccounts(RoutingReason& aReason)
{
  for (const AccountRule& account : m_draft.m_accounts) {
    for (const std::string& key : account.m_keys) {
      const auto [place, isNew] = m_keys.emplace(key, &account);
      if (!isNew && place->second != &account) {
        return Refuse(aReason,
                      "account \"" + account.m_name +
                        "\" shares a key with account \"" +
                        place->second->m_name + "\", expected keys of its own");
      }
    }
  }
  return true;
}

const RouteRule*
RoutingConfig::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = m_hosts.find(NormalizeHost(aHost));
  if (host == m_hosts.end()) {
    return nullptr;
  }
  // A path of slashes would be looked up, and hashed, once for each of them.
  aPath = aPath.substr(0, m_longestPrefix);
  for (auto slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = aPath.rfind('/', slash - 1)) {
    const auto route = host->second.find(aPath.substr(0, slash + 1));
    if (route != host->second.end()) {
      return route->second;
    }
    if (slash == 0) {
      break;
    }
  }
  return nullptr;
}

const AccountRule*
RoutingConfig::FindAccount(std::string_view aKey) const
{
  const auto found = m_keys.find(aKey);
  return found == m_keys.end() ? nullptr : found->second;
}

const ServiceRule*
RoutingConfig::FindService(std::string_view aName) const
{
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr : found->second;
}

} // namespace parsleycove
