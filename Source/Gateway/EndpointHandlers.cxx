// Calls of endpoints: announce, renew, leave and events.
#include "Gateway/EndpointHandlers.h"

#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "Forwarding/ControlCalls.h"
#include "Gateway/ApiError.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"
#include "Routing/RunnerTable.h"
#include "State/ConfigJson.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

constexpr Duration kProposeTimeout = std::chrono::seconds(5);
constexpr Duration kRetrySoon = std::chrono::milliseconds(500);

std::string
PrintRenewal(const GatewayServices& aServices)
{
  const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(
    aServices.m_options.m_renewInterval);
  return json::serialize(
    json::object{ { "renew_within_ms", interval.count() } });
}

std::optional<state::EndpointRefT>
ParseReference(const std::string& aBody, ApiError& aError)
{
  state::EndpointRefT reference;
  try {
    const json::value document =
      json::parse(json::string_view(aBody.data(), aBody.size()));
    const json::object& fields = document.as_object();
    reference.id = json::value_to<std::string>(fields.at("id"));
    reference.incarnation = fields.at("incarnation").to_number<std::uint64_t>();
  } catch (const std::exception& fault) {
    aError = { ApiErrorCode::BadRequest,
               std::string("expected {\"id\":text,\"incarnation\":number}: ") +
                 fault.what() };
    return std::nullopt;
  }
  return reference;
}

struct ReportedLoad
{
  std::uint32_t m_queued = 0;
  std::uint32_t m_running = 0;
};

// Returns the report's load, or nothing when it has none that can be read.
std::optional<ReportedLoad>
ParseLoad(const std::string& aBody)
{
  try {
    const json::value document =
      json::parse(json::string_view(aBody.data(), aBody.size()));
    const json::object& load = document.at("load").as_object();
    return ReportedLoad{ load.at("queued").to_number<std::uint32_t>(),
                         load.at("running").to_number<std::uint32_t>() };
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

ApiError
ErrorOf(const ProposeOutcome& aOutcome)
{
  if (!aOutcome.m_result) {
    return { ApiErrorCode::ControlUnavailable,
             aOutcome.m_reason.m_text,
             CallOutcome::NotApplicable,
             kRetrySoon };
  }
  const ApiErrorCode code =
    aOutcome.m_result->code == state::ResultCode::NotFound
      ? ApiErrorCode::NotFound
      : ApiErrorCode::Invalid;
  return { code, aOutcome.m_result->text };
}

bool
IsAccepted(const ProposeOutcome& aOutcome)
{
  return aOutcome.m_result &&
         (aOutcome.m_result->code == state::ResultCode::Ok ||
          aOutcome.m_result->code == state::ResultCode::Duplicate);
}

} // namespace

asio::awaitable<void>
AnnounceHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  StateReason reason;
  auto endpoint = ParseEndpoint(aContext.m_request.body(), reason);
  if (!endpoint) {
    const ApiError error{ ApiErrorCode::Invalid, reason.m_text };
    co_await aResponder.SendError(error);
    co_return;
  }
  state::AnnounceEndpointT announce;
  announce.endpoint = std::make_unique<state::EndpointT>(std::move(*endpoint));
  const TimePoint deadline = aContext.m_arrival + kProposeTimeout;
  const ProposeOutcome outcome = co_await Propose(m_services.m_control,
                                                  aContext.m_worker.Context(),
                                                  MakeCommand(announce),
                                                  deadline);
  if (!IsAccepted(outcome)) {
    co_await aResponder.SendError(ErrorOf(outcome));
    co_return;
  }
  co_await aResponder.SendJson(200, PrintRenewal(m_services));
}

asio::awaitable<void>
RenewHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  ApiError refusal;
  const auto reference = ParseReference(aContext.m_request.body(), refusal);
  if (!reference) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  const auto view = m_services.m_control.View();
  const state::EndpointT* known = view->FindEndpoint(reference->id);
  if (!known || known->incarnation != reference->incarnation) {
    const ApiError error{ ApiErrorCode::NotFound,
                          "this endpoint is not registered; announce again" };
    co_await aResponder.SendError(error);
    co_return;
  }
  m_services.m_control.RenewEndpoint(reference->id, reference->incarnation);
  co_await aResponder.SendJson(200, PrintRenewal(m_services));
}

asio::awaitable<void>
LeaveHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  ApiError refusal;
  const auto reference = ParseReference(aContext.m_request.body(), refusal);
  if (!reference) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  state::LeaveEndpointT leave;
  leave.endpoint = std::make_unique<state::EndpointRefT>(*reference);
  const TimePoint deadline = aContext.m_arrival + kProposeTimeout;
  const ProposeOutcome outcome = co_await Propose(m_services.m_control,
                                                  aContext.m_worker.Context(),
                                                  MakeCommand(leave),
                                                  deadline);
  if (!IsAccepted(outcome)) {
    co_await aResponder.SendError(ErrorOf(outcome));
    co_return;
  }
  co_await aResponder.SendJson(200, "{}");
}

asio::awaitable<void>
EventsHandler::Handle(const RequestContext& aContext, Responder& aResponder)
{
  ApiError refusal;
  const std::string& body = aContext.m_request.body();
  const auto reference = ParseReference(body, refusal);
  if (!reference) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  const auto load = ParseLoad(body);
  const auto table = m_services.m_runners.Read();
  const Runner* runner = table->FindRunner(reference->id);
  const bool isKnown =
    runner && runner->m_incarnation == reference->incarnation;
  if (load && isKnown) {
    runner->m_load->RecordReport(
      m_services.m_clock.Now(), load->m_queued, load->m_running);
  }
  co_await aResponder.SendJson(200, "{}");
}

} // namespace parsleycove
