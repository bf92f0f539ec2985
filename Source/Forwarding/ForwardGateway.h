// The gateway of a VM that forwards requests of callers to endpoints.
#pragma once

#include <memory>
#include <string>

#include "Base/DrainState.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/ForwardOptions.h"
#include "Routing/RoutingConfig.h"
#include "State/ControlPort.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/MetricRegistry.h"
#include "Wire/Http.h"

namespace parsleycove {

// All work runs on the thread that runs aContext.
class ForwardGateway
{
public:
  ForwardGateway(asio::io_context& aContext,
                 const ForwardOptions& aOptions,
                 const ForwardDialect& aDialect,
                 const RoutingConfigCodec& aCodec,
                 ControlPort& aControl,
                 DecisionLog& aLog,
                 MetricRegistry& aMetrics);
  ~ForwardGateway();
  ForwardGateway(const ForwardGateway&) = delete;
  ForwardGateway& operator=(const ForwardGateway&) = delete;

  // Returns false and sets aReason if an address cannot be bound.
  bool Start(std::string& aReason);
  std::uint16_t Port() const;

  // Makes the gateway report that it is not ready. Requests in progress
  // continue to their end, but not beyond the stop grace: shortly before that
  // they are answered with a failure, and streams end as incomplete.
  void BeginStop();
  // Returns true once the gateway drains and either no request is in progress
  // or the stop grace is almost over.
  bool IsStopped(TimePoint aNow) const;
  // Returns true if this VM can serve requests from the balancer.
  bool IsReady(TimePoint aNow) const;

private:
  struct Parts;

  std::unique_ptr<Parts> m_parts;
};

} // namespace parsleycove
