// Pages for the platform: /healthz, /readyz and /metrics.
#pragma once

#include "Gateway/Handler.h"

namespace parsleycove {

struct GatewayServices;

// GET /healthz: the process answers.
class HealthHandler final : public Handler
{
public:
  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;
};

// GET /readyz: 200 while this VM takes new work, else 503.
class ReadyHandler final : public Handler
{
public:
  explicit ReadyHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }
  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

// GET /metrics: Prometheus text.
class MetricsHandler final : public Handler
{
public:
  explicit MetricsHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }
  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

} // namespace parsleycove
