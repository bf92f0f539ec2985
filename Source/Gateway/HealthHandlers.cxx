// Pages for the platform: /healthz, /readyz and /metrics.
#include "Gateway/HealthHandlers.h"

#include "Base/DrainState.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/Responder.h"
#include "State/ControlPort.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

} // namespace

asio::awaitable<void>
HealthHandler::Handle(const RequestContext&, Responder& aResponder)
{
  co_await aResponder.Send(kOk, "text/plain", "ok\n");
}

asio::awaitable<void>
ReadyHandler::Handle(const RequestContext&, Responder& aResponder)
{
  const TimePoint now = m_services.m_clock.Now();
  if (m_services.m_drain.Phase(now) != DrainPhase::Serving) {
    co_await aResponder.Send(kUnavailable, "text/plain", "draining\n");
    co_return;
  }
  if (!m_services.m_control.HasLease(now)) {
    co_await aResponder.Send(
      kUnavailable, "text/plain", "no configuration lease\n");
    co_return;
  }
  co_await aResponder.Send(kOk, "text/plain", "ready\n");
}

asio::awaitable<void>
MetricsHandler::Handle(const RequestContext&, Responder& aResponder)
{
  co_await aResponder.Send(
    kOk, "text/plain; version=0.0.4", m_services.m_metrics.Print());
}

} // namespace parsleycove
