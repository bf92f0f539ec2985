// The aims that a configuration sets for the streams of one service.
#pragma once

#include <string_view>

#include "Base/Clock.h"
#include "Routing/RoutingConfig.h"

namespace parsleycove {

struct ServiceAims
{
  // Shortest target for the first event among the service's streaming routes;
  // zero if none of them has one.
  Duration m_firstEvent{};
  // True if the streaming routes of the service differ in their target for the
  // first event or in their priority.
  bool m_isDifferentiated = false;
};

// Returns the aims of the service's streaming routes.
ServiceAims
FindServiceAims(const RoutingConfig& aConfig, std::string_view aService);

} // namespace parsleycove
