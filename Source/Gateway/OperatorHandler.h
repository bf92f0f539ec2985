// Base of the operators' calls under /v1/admin.
#pragma once

#include "Base/Clock.h"
#include "Gateway/Handler.h"

namespace parsleycove {

struct GatewayServices;

// Checks the operators' bearer key before the call is handled.
class OperatorHandler : public Handler
{
public:
  explicit OperatorHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }

  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) final;

protected:
  virtual asio::awaitable<void> HandleOperator(const RequestContext& aContext,
                                               Responder& aResponder) = 0;

  // How long an operator's call may wait for the replicas.
  static constexpr Duration kControlTimeout = std::chrono::seconds(5);

  const GatewayServices& m_services;
};

} // namespace parsleycove
