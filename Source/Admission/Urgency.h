// How urgent a request is, by its client account and its route.
//
// Load pattern: a burst of less urgent work fills every path of a service that
// also serves urgent work.
#pragma once

#include <cstdint>
#include <tuple>

#include "Routing/RoutingConfig.h"

namespace parsleycove {

// Ranks above this one in a configuration count as this one: such a
// configuration was always accepted, so it must not be refused now.
inline constexpr std::uint32_t kLeastUrgentRank = 9;

// Less is more urgent. An account's rank takes precedence over the route's, and
// the route's rank decides among equal ones.
struct Urgency
{
  // The account's rank if it has one, and the route's otherwise.
  std::uint32_t m_first = 0;
  std::uint32_t m_route = 0;

  bool operator==(const Urgency&) const = default;
  bool operator<(const Urgency& aOther) const
  {
    return std::tie(m_first, m_route) <
           std::tie(aOther.m_first, aOther.m_route);
  }
};

// aAccount: nullptr if the request belongs to no client account.
Urgency
UrgencyOf(const RouteRule& aRoute, const AccountRule* aAccount);

} // namespace parsleycove
