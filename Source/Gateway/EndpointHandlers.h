// Calls of endpoints: announce, renew, leave and events.
#pragma once

#include "Gateway/Handler.h"

namespace parsleycove {

struct GatewayServices;

// POST /v1/endpoints/announce: registers an endpoint for all VMs.
class AnnounceHandler final : public Handler
{
public:
  explicit AnnounceHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }
  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

// POST /v1/endpoints/renew: says that an endpoint is alive.
class RenewHandler final : public Handler
{
public:
  explicit RenewHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }
  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

// POST /v1/endpoints/leave: ends new work for an endpoint.
class LeaveHandler final : public Handler
{
public:
  explicit LeaveHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }
  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

} // namespace parsleycove
