// The HTTP side of a VM: listener, workers and routes.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "Base/DrainState.h"
#include "Base/Reason.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestRouter.h"
#include "Routing/RunnerTable.h"

namespace parsleycove {

class Listener;
class Worker;

enum class GatewayError
{
  None,
  CannotListen,
};
using GatewayReason = Reason<GatewayError>;

// Owns the threads of the gateway.
class GatewayServer
{
public:
  // The references must outlive the server.
  GatewayServer(GatewayOptions aOptions,
                const Clock& aClock,
                ControlPort& aControl,
                MetricRegistry& aMetrics,
                SpanStore& aSpans);
  ~GatewayServer();
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  // Begins to listen; false with LastReason() when the address can't be had.
  bool Start();
  const GatewayReason& LastReason() const { return m_reason; }
  // The port in use, also when the settings asked for any.
  std::uint16_t Port() const;

  // Endpoints that new work can go to, as the planners see them now.
  std::size_t CountRunners() const
  {
    return m_runners.Read()->Runners().size();
  }

  DrainState& Drain() { return m_drain; }
  // Ends all threads at once; what is in progress is cut off.
  void Stop();

private:
  void AddRoutes();
  void AddOperatorRoutes();

  const GatewayOptions m_options;
  DrainState m_drain;
  Publication<const RunnerTable> m_runners;
  const GatewayServices m_services;
  RequestRouter m_router;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::unique_ptr<Listener> m_listener;
  GatewayReason m_reason;
};

} // namespace parsleycove
