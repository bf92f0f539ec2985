// The levels of urgency that the requests of one service can have.
#include "Admission/UrgencyScale.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace parsleycove {

namespace {

bool
LeadsTo(const RouteRule& aRoute, std::string_view aService)
{
  return std::any_of(aRoute.m_services.begin(),
                     aRoute.m_services.end(),
                     [aService](const WeightedService& aShare) {
                       return aShare.m_service == aService &&
                              aShare.m_weight != 0;
                     });
}

} // namespace

UrgencyScale::UrgencyScale(const RoutingConfig& aConfig,
                           std::string_view aService)
{
  // Accounts and routes may be thousands, their ranks are few.
  std::map<std::optional<std::uint32_t>, const AccountRule*> accounts;
  if (aConfig.HasAccounts()) {
    for (const AccountRule& account : aConfig.Accounts()) {
      accounts.emplace(account.m_priority, &account);
    }
  }
  std::set<Urgency> urgencies;
  for (const RouteRule& route : aConfig.Routes()) {
    if (!LeadsTo(route, aService)) {
      continue;
    }
    if (!aConfig.HasAccounts() || route.m_allowsAnonymous) {
      urgencies.insert(UrgencyOf(route, nullptr));
    }
    for (const auto& [rank, account] : accounts) {
      urgencies.insert(UrgencyOf(route, account));
    }
  }
  m_urgencies.assign(urgencies.begin(), urgencies.end());
}

std::size_t
UrgencyScale::LevelOf(const Urgency& aUrgency) const
{
  if (m_urgencies.empty()) {
    return 0;
  }
  const auto place =
    std::lower_bound(m_urgencies.begin(), m_urgencies.end(), aUrgency);
  return std::min<std::size_t>(place - m_urgencies.begin(), Count() - 1);
}

} // namespace parsleycove
