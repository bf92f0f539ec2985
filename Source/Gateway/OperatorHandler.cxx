// Base of the operators' calls under /v1/admin.
#include "Gateway/OperatorHandler.h"

#include "Base/Digest.h"
#include "Gateway/ApiError.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/Responder.h"

namespace parsleycove {

asio::awaitable<void>
OperatorHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  const std::string& expected = m_services.m_options.m_operatorKeyHash;
  const bool isOperator =
    !expected.empty() && Sha256Hex(aContext.BearerKey()) == expected;
  if (!isOperator) {
    const ApiError error{ ApiErrorCode::Unauthorized,
                          "the bearer key is not the operators' key" };
    co_await aResponder.SendError(error);
    co_return;
  }
  co_await HandleOperator(aContext, aResponder);
}

} // namespace parsleycove
