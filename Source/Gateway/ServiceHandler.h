// Calls of plain services: /v1/services/{service}/{path}.
#pragma once

#include "Gateway/Handler.h"

namespace parsleycove {

struct ActionAnswer;
struct Caller;
struct GatewayServices;

// Calls that may be repeated are passed on and retried; all others go through
// the action ledger and need an Idempotency-Key.
class ServiceHandler final : public Handler
{
public:
  explicit ServiceHandler(const GatewayServices& aServices)
    : m_services(aServices)
  {
  }

  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  struct Target;

  asio::awaitable<void> RunAction(const RequestContext& aContext,
                                  Responder& aResponder,
                                  const Caller& aCaller,
                                  const Target& aTarget);
  asio::awaitable<void> RunIdempotent(const RequestContext& aContext,
                                      Responder& aResponder,
                                      const Caller& aCaller,
                                      const Target& aTarget);

  const GatewayServices& m_services;
};

} // namespace parsleycove
