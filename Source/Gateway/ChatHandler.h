// POST /v1/chat/completions.
#pragma once

#include "Gateway/Handler.h"
#include "Routing/AdmissionController.h"

namespace parsleycove {

struct Caller;
struct ChatRequest;
struct GatewayServices;

// Answers a chat completion whole, or as server-sent events token by token.
class ChatHandler final : public Handler
{
public:
  explicit ChatHandler(const GatewayServices& aServices);

  asio::awaitable<void> Handle(const RequestContext& aContext,
                               Responder& aResponder) override;

private:
  asio::awaitable<AdmissionOutcome> Run(const RequestContext& aContext,
                                        Responder& aResponder,
                                        const Caller& aCaller,
                                        const ChatRequest& aChat);

  const GatewayServices& m_services;
};

} // namespace parsleycove
