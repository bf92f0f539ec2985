// POST /v1/chat/completions.
#pragma once

#include "Gateway/Handler.h"

namespace parsleycove {

struct GatewayServices;

// Answers a chat completion whole, or as server-sent events token by token.
class ChatHandler final : public Handler
{
public:
  explicit ChatHandler(const GatewayServices& aServices);

  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  const GatewayServices& m_services;
};

} // namespace parsleycove
