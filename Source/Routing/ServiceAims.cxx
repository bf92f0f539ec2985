// The aims that a configuration sets for the streams of one service.
#include "Routing/ServiceAims.h"

#include <algorithm>

namespace parsleycove {

namespace {

bool
IsStreamOf(const RouteRule& aRoute, std::string_view aService)
{
  return aRoute.m_kind == RequestKind::Streaming &&
         std::any_of(aRoute.m_services.begin(),
                     aRoute.m_services.end(),
                     [&](const WeightedService& aShare) {
                       return aShare.m_weight != 0 &&
                              aShare.m_service == aService;
                     });
}

} // namespace

ServiceAims
FindServiceAims(const RoutingConfig& aConfig, std::string_view aService)
{
  ServiceAims aims;
  const RouteRule* first = nullptr;
  for (const RouteRule& route : aConfig.Routes()) {
    if (!IsStreamOf(route, aService)) {
      continue;
    }
    if (first == nullptr) {
      first = &route;
    }
    aims.m_isDifferentiated = aims.m_isDifferentiated ||
                              route.m_target != first->m_target ||
                              route.m_priority != first->m_priority;
    if (route.m_target > Duration::zero()) {
      aims.m_firstEvent = aims.m_firstEvent == Duration::zero()
                            ? route.m_target
                            : std::min(aims.m_firstEvent, route.m_target);
    }
  }
  return aims;
}

} // namespace parsleycove
