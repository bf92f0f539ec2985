// The forwarding half of a VM: callers on one side, endpoints on the other.
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

// Everything runs on the thread of the context.
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

  // False with the reason when an address cannot be taken.
  bool Start(std::string& aReason);
  std::uint16_t Port() const;

  // Not ready from now on; what is in progress goes on to its end.
  void BeginStop();
  bool IsStopped(TimePoint aNow) const;
  // Whether this VM can serve what the balancer sends.
  bool IsReady(TimePoint aNow) const;

private:
  struct Parts;

  std::unique_ptr<Parts> m_parts;
};

} // namespace parsleycove
