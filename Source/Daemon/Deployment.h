// What a deployment adds to the product: its wire format.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Forwarding/ForwardDialect.h"
#include "Forwarding/HttpService.h"
#include "Placement/EngineOrders.h"
#include "Routing/RoutingConfig.h"
#include "State/ControlPort.h"
#include "Telemetry/DecisionLog.h"

namespace parsleycove {

// Roles entry and control speak to callers, endpoints and operators through
// this.
class Deployment
{
public:
  virtual ~Deployment() = default;

  // Where the deployment says that the settings file is; nothing if it
  // doesn't.
  virtual std::optional<std::string> FindSettingsFile() = 0;
  virtual const ForwardDialect& Dialect() const = 0;
  virtual const RoutingConfigCodec& ConfigCodec() const = 0;
  virtual std::unique_ptr<EngineOrders> MakeOrders(
    asio::io_context& aContext) const = 0;
  // Answers the calls of operators and endpoints.
  virtual HttpHandler MakeControlHandler(asio::io_context& aContext,
                                         ControlPort& aControl,
                                         DecisionLog& aLog) const = 0;
};

} // namespace parsleycove
