// How urgent a request is, by its client account and its route.
#include "Admission/Urgency.h"

#include <algorithm>

namespace parsleycove {

Urgency
UrgencyOf(const RouteRule& aRoute, const AccountRule* aAccount)
{
  const std::uint32_t route = std::min(aRoute.m_priority, kLeastUrgentRank);
  const bool hasRank = aAccount != nullptr && aAccount->m_priority.has_value();
  return { hasRank ? std::min(*aAccount->m_priority, kLeastUrgentRank) : route,
           route };
}

} // namespace parsleycove
