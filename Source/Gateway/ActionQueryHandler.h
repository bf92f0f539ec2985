// Lets a caller ask for the outcome of an action: GET /v1/actions/{key}.
#pragma once

#include "Gateway/Handler.h"

namespace parsleycove {

struct GatewayServices;

class ActionQueryHandler final : public Handler
{
public:
  explicit ActionQueryHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }

  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

} // namespace parsleycove
