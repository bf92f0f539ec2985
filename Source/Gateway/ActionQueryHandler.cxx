// Lets a caller ask for the outcome of an action: GET /v1/actions/{key}.
#include "Gateway/ActionQueryHandler.h"

#include "Forwarding/ControlCalls.h"
#include "Gateway/ActionJson.h"
#include "Gateway/CallerGate.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"

namespace parsleycove {

asio::awaitable<void>
ActionQueryHandler::Handle(const RequestContext& aContext,
                           Responder& aResponder)
{
  static constexpr std::string_view kPrefix = "/v1/actions/";
  ApiError refusal;
  const auto caller = IdentifyCaller(m_services, aContext, refusal);
  if (!caller) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  const std::string key(aContext.m_path.substr(kPrefix.size()));
  const ReadActionOutcome outcome =
    co_await ReadAction(m_services.m_control,
                        aContext.m_worker.Context(),
                        caller->m_account->name,
                        key,
                        caller->m_deadline);
  if (outcome.m_record) {
    co_await aResponder.SendJson(200, PrintAction(*outcome.m_record));
    co_return;
  }
  ApiError error;
  if (outcome.m_reason.m_code == ControlError::None) {
    error = { ApiErrorCode::NotFound,
              "the ledger holds no action with key " + key +
                " of this client account" };
  } else {
    error = { ApiErrorCode::ControlUnavailable,
              outcome.m_reason.m_text,
              CallOutcome::Unknown,
              std::chrono::seconds(1) };
  }
  co_await aResponder.SendError(error);
}

} // namespace parsleycove
