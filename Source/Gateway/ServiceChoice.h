// Chooses the endpoint of a plain service for one call.
#pragma once

#include <optional>
#include <string>

#include "StateGenerated.h"

namespace parsleycove {

struct GatewayServices;

// Returns a ready endpoint of the service, or nothing when there is none.
std::optional<state::EndpointT>
ChooseServiceEndpoint(const GatewayServices& aServices,
                      const std::string& aService);

} // namespace parsleycove
