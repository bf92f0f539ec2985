// Operators' calls about the configuration.
#include "Gateway/ConfigHandlers.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "Forwarding/ControlCalls.h"
#include "Gateway/ApiError.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"
#include "State/ConfigJson.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxWaitMs = 60000;
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

template<typename Entities, typename Print>
json::array
PrintAll(const Entities& aEntities, Print aPrint)
{
  json::array list;
  for (const auto& entity : aEntities) {
    list.push_back(json::parse(aPrint(*entity)));
  }
  return list;
}

std::uint64_t
ParseNumber(std::string_view aText, std::uint64_t aDefault)
{
  std::uint64_t number = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::optional<state::ApplyChangeT>
ParseChange(const std::string& aBody, ApiError& aError)
{
  state::ApplyChangeT apply;
  std::string changeText;
  try {
    const json::value document =
      json::parse(json::string_view(aBody.data(), aBody.size()));
    const json::object& fields = document.as_object();
    apply.change_id = json::value_to<std::string>(fields.at("change_id"));
    apply.base_revision = fields.at("base_revision").to_number<std::uint64_t>();
    apply.operator_name = json::value_to<std::string>(fields.at("operator"));
    changeText = json::serialize(fields.at("change"));
  } catch (const std::exception& fault) {
    aError = { ApiErrorCode::Invalid,
               std::string("expected change_id, base_revision, operator and "
                           "change: ") +
                 fault.what() };
    return std::nullopt;
  }
  StateReason reason;
  auto change = ParseConfigChange(changeText, reason);
  if (!change) {
    aError = { ApiErrorCode::Invalid, reason.m_text };
    return std::nullopt;
  }
  apply.change = std::make_unique<state::ConfigChangeT>(std::move(*change));
  return apply;
}

// The refused change's body also names the revision that is in force.
std::string
PrintConflict(const state::CommandResultT& aResult)
{
  const json::object error{ { "code",
                              NameOfApiError(ApiErrorCode::RevisionConflict) },
                            { "message", aResult.text } };
  return json::serialize(
    json::object{ { "error", error }, { "revision", aResult.revision } });
}

asio::awaitable<void>
AnswerChange(const state::CommandResultT& aResult,
             std::uint64_t aInForceIndex,
             Responder& aResponder)
{
  constexpr unsigned kConflict = 409;
  switch (aResult.code) {
    case state::ResultCode::Ok:
    case state::ResultCode::Duplicate: {
      const json::object body{ { "code", "ok" },
                               { "revision", aResult.revision },
                               { "index", aResult.index },
                               { "in_force", aInForceIndex >= aResult.index } };
      co_await aResponder.SendJson(200, json::serialize(body));
      break;
    }
    case state::ResultCode::RevisionConflict:
      co_await aResponder.SendJson(kConflict, PrintConflict(aResult));
      break;
    default: {
      const ApiError error{ ApiErrorCode::Invalid, aResult.text };
      co_await aResponder.SendError(error);
      break;
    }
  }
}

} // namespace

asio::awaitable<void>
ConfigHandler::HandleOperator(const RequestContext&, Responder& aResponder)
{
  const auto view = m_services.m_control.View();
  const state::ConfigImageT& image = view->Image();
  json::object body{
    { "revision", view->Revision() },
    { "index", view->Index() },
    { "in_force_index", m_services.m_control.InForceIndex() },
    { "classes", PrintAll(image.classes, PrintClass) },
    { "accounts", PrintAll(image.accounts, PrintAccount) },
    { "models", PrintAll(image.models, PrintModel) },
    { "services", PrintAll(image.services, PrintService) },
    { "endpoints", PrintAll(image.endpoints, PrintEndpoint) },
    { "orders", PrintAll(image.orders, PrintOrder) },
    { "prompt_parts", PrintAll(image.prompt_parts, PrintPromptPart) },
    { "endpoint_limits", PrintAll(image.endpoint_limits, PrintEndpointLimit) },
    { "gateways", PrintAll(image.gateways, PrintGateway) }
  };
  const state::SettingsT none;
  const state::SettingsT& settings = image.settings ? *image.settings : none;
  body["settings"] = json::parse(PrintSettings(settings));
  co_await aResponder.SendJson(200, json::serialize(body));
}

asio::awaitable<void>
ChangeHandler::HandleOperator(const RequestContext& aContext,
                              Responder& aResponder)
{
  ApiError refusal;
  auto apply = ParseChange(aContext.m_request.body(), refusal);
  if (!apply) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  apply->unix_ms = m_services.m_clock.UnixMs();
  const TimePoint deadline = aContext.m_arrival + kControlTimeout;
  const ProposeOutcome outcome = co_await Propose(m_services.m_control,
                                                  aContext.m_worker.Context(),
                                                  MakeCommand(*apply),
                                                  deadline);
  if (outcome.m_result) {
    co_await AnswerChange(
      *outcome.m_result, m_services.m_control.InForceIndex(), aResponder);
    co_return;
  }
  const bool isUnknown = outcome.m_reason.m_code == ControlError::Unknown;
  const ApiError error{
    isUnknown ? ApiErrorCode::OutcomeUnknown : ApiErrorCode::ControlUnavailable,
    outcome.m_reason.m_text + "; send it again with the same change_id",
    isUnknown ? CallOutcome::Unknown : CallOutcome::NotRun,
    std::chrono::seconds(1)
  };
  co_await aResponder.SendError(error);
}

asio::awaitable<void>
InForceHandler::HandleOperator(const RequestContext& aContext,
                               Responder& aResponder)
{
  const std::uint64_t index = ParseNumber(aContext.QueryValue("index"), 0);
  const std::uint64_t waitMs =
    std::min(ParseNumber(aContext.QueryValue("wait_ms"), 0), kMaxWaitMs);
  const TimePoint deadline =
    aContext.m_arrival + std::chrono::milliseconds(waitMs);
  asio::steady_timer timer(aContext.m_worker.Context());
  while (m_services.m_control.InForceIndex() < index &&
         m_services.m_clock.Now() < deadline) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  const std::uint64_t reached = m_services.m_control.InForceIndex();
  const json::object body{ { "in_force", reached >= index },
                           { "in_force_index", reached } };
  co_await aResponder.SendJson(200, json::serialize(body));
}

} // namespace parsleycove
