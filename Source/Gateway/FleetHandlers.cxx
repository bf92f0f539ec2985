// Operators' calls about VMs, replicas, actions and traces.
#include "Gateway/FleetHandlers.h"

#include <charconv>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "Base/DrainState.h"
#include "Forwarding/ControlCalls.h"
#include "Gateway/ActionJson.h"
#include "Gateway/ApiError.h"
#include "Gateway/GatewayServices.h"
#include "Gateway/RequestContext.h"
#include "Gateway/Responder.h"
#include "Gateway/Worker.h"
#include "Telemetry/SpanStore.h"

namespace parsleycove {

namespace json = boost::json;

namespace {

constexpr unsigned kAccepted = 202;

ApiError
Unavailable(const ControlReason& aReason)
{
  return { ApiErrorCode::ControlUnavailable,
           aReason.m_text,
           CallOutcome::NotApplicable,
           std::chrono::seconds(1) };
}

std::string
PrintStatus(const feed::StatusReplyT& aStatus)
{
  json::array replicas;
  for (const auto& replica : aStatus.replicas) {
    replicas.push_back(json::object{ { "replica", replica->replica },
                                     { "vm", replica->vm },
                                     { "zone", replica->zone },
                                     { "address", replica->address },
                                     { "role", replica->role },
                                     { "voter", replica->voter },
                                     { "reachable", replica->reachable },
                                     { "match_index", replica->match_index } });
  }
  json::array gateways;
  for (const auto& gateway : aStatus.gateways) {
    gateways.push_back(
      json::object{ { "vm", gateway->vm },
                    { "zone", gateway->zone },
                    { "applied_index", gateway->applied_index },
                    { "lease_left_ms", gateway->lease_left_ms },
                    { "stopping", gateway->stopping } });
  }
  return json::serialize(
    json::object{ { "leader", aStatus.leader },
                  { "term", aStatus.term },
                  { "commit", aStatus.commit },
                  { "in_force_index", aStatus.in_force_index },
                  { "replicas", std::move(replicas) },
                  { "gateways", std::move(gateways) } });
}

std::optional<feed::AddReplicaT>
ParseAddReplica(const std::string& aBody, ApiError& aError)
{
  feed::AddReplicaT request;
  try {
    const json::value document =
      json::parse(json::string_view(aBody.data(), aBody.size()));
    const json::object& fields = document.as_object();
    request.replica = fields.at("replica").to_number<std::uint64_t>();
    request.vm = json::value_to<std::string>(fields.at("vm"));
    request.zone = json::value_to<std::string>(fields.at("zone"));
    request.address = json::value_to<std::string>(fields.at("address"));
    request.port = fields.at("port").to_number<std::uint16_t>();
  } catch (const std::exception& fault) {
    aError = { ApiErrorCode::Invalid,
               std::string("expected replica, vm, zone, address and port: ") +
                 fault.what() };
    return std::nullopt;
  }
  return request;
}

std::string_view
LastPart(std::string_view aPath)
{
  return aPath.substr(aPath.rfind('/') + 1);
}

asio::awaitable<void>
AnswerAdmin(const AdminOutcome& aOutcome, Responder& aResponder)
{
  if (!aOutcome.m_reply) {
    co_await aResponder.SendError(Unavailable(aOutcome.m_reason));
    co_return;
  }
  if (!aOutcome.m_reply->ok) {
    const ApiError error{ ApiErrorCode::Invalid, aOutcome.m_reply->text };
    co_await aResponder.SendError(error);
    co_return;
  }
  const json::object body{ { "text", aOutcome.m_reply->text } };
  co_await aResponder.SendJson(200, json::serialize(body));
}

std::string_view
NameOfPhase(DrainPhase aPhase, bool aHasLease)
{
  if (aPhase != DrainPhase::Serving) {
    return "draining";
  }
  return aHasLease ? "ready" : "not_ready";
}

} // namespace

asio::awaitable<void>
StatusHandler::HandleOperator(const RequestContext& aContext,
                              Responder& aResponder)
{
  const StatusOutcome outcome =
    co_await ReadStatus(m_services.m_control,
                        aContext.m_worker.Context(),
                        aContext.m_arrival + kControlTimeout);
  if (!outcome.m_status) {
    co_await aResponder.SendError(Unavailable(outcome.m_reason));
    co_return;
  }
  co_await aResponder.SendJson(200, PrintStatus(*outcome.m_status));
}

asio::awaitable<void>
SelfHandler::HandleOperator(const RequestContext&, Responder& aResponder)
{
  const TimePoint now = m_services.m_clock.Now();
  const auto phase = m_services.m_drain.Phase(now);
  const bool hasLease = m_services.m_control.HasLease(now);
  const json::object body{ { "vm", m_services.m_options.m_vm },
                           { "zone", m_services.m_options.m_zone },
                           { "state", NameOfPhase(phase, hasLease) },
                           { "active_requests", m_services.m_drain.Active() },
                           { "index", m_services.m_control.View()->Index() },
                           { "revision",
                             m_services.m_control.View()->Revision() } };
  co_await aResponder.SendJson(200, json::serialize(body));
}

asio::awaitable<void>
DrainHandler::HandleOperator(const RequestContext&, Responder& aResponder)
{
  m_services.m_drain.Begin(m_services.m_clock.Now());
  m_services.m_control.AnnounceStopping();
  const json::object body{ { "vm", m_services.m_options.m_vm },
                           { "state", "draining" },
                           { "active_requests", m_services.m_drain.Active() } };
  co_await aResponder.SendJson(kAccepted, json::serialize(body));
}

asio::awaitable<void>
ReplicaHandler::HandleOperator(const RequestContext& aContext,
                               Responder& aResponder)
{
  const TimePoint deadline = aContext.m_arrival + kControlTimeout;
  if (aContext.m_request.method() == http::verb::delete_) {
    const std::string_view text = LastPart(aContext.m_path);
    std::uint64_t replica = 0;
    std::from_chars(text.data(), text.data() + text.size(), replica);
    const AdminOutcome outcome = co_await RemoveReplica(
      m_services.m_control, aContext.m_worker.Context(), replica, deadline);
    co_await AnswerAdmin(outcome, aResponder);
    co_return;
  }
  ApiError refusal;
  const auto request = ParseAddReplica(aContext.m_request.body(), refusal);
  if (!request) {
    co_await aResponder.SendError(refusal);
    co_return;
  }
  const AdminOutcome outcome = co_await AddReplica(
    m_services.m_control, aContext.m_worker.Context(), *request, deadline);
  co_await AnswerAdmin(outcome, aResponder);
}

asio::awaitable<void>
ActionAdminHandler::HandleOperator(const RequestContext& aContext,
                                   Responder& aResponder)
{
  static constexpr std::string_view kPrefix = "/v1/admin/actions/";
  std::string_view rest = aContext.m_path.substr(kPrefix.size());
  const auto slash = rest.find('/');
  if (slash == std::string_view::npos) {
    const ApiError error{ ApiErrorCode::NotFound,
                          "expected /v1/admin/actions/{account}/{key}" };
    co_await aResponder.SendError(error);
    co_return;
  }
  std::string account(rest.substr(0, slash));
  rest.remove_prefix(slash + 1);
  std::string key(rest.substr(0, rest.find('/')));
  if (aContext.m_request.method() == http::verb::post) {
    co_await Resolve(aContext, aResponder, std::move(account), std::move(key));
    co_return;
  }
  const ReadActionOutcome outcome =
    co_await ReadAction(m_services.m_control,
                        aContext.m_worker.Context(),
                        std::move(account),
                        std::move(key),
                        aContext.m_arrival + kControlTimeout);
  if (outcome.m_record) {
    co_await aResponder.SendJson(200, PrintAction(*outcome.m_record));
  } else if (outcome.m_reason.m_code == ControlError::None) {
    const ApiError error{ ApiErrorCode::NotFound,
                          "the ledger holds no such action" };
    co_await aResponder.SendError(error);
  } else {
    co_await aResponder.SendError(Unavailable(outcome.m_reason));
  }
}

asio::awaitable<void>
ActionAdminHandler::Resolve(const RequestContext& aContext,
                            Responder& aResponder,
                            std::string aAccount,
                            std::string aKey)
{
  state::ResolveActionT resolve;
  std::optional<ApiError> refusal;
  try {
    const std::string& text = aContext.m_request.body();
    const json::value document =
      json::parse(json::string_view(text.data(), text.size()));
    const json::object& fields = document.as_object();
    resolve.ran = fields.at("ran").as_bool();
    resolve.operator_name = json::value_to<std::string>(fields.at("operator"));
  } catch (const std::exception& fault) {
    refusal =
      ApiError{ ApiErrorCode::Invalid,
                std::string("expected ran and operator: ") + fault.what() };
  }
  if (refusal) {
    co_await aResponder.SendError(*refusal);
    co_return;
  }
  resolve.account = std::move(aAccount);
  resolve.key = std::move(aKey);
  resolve.unix_ms = m_services.m_clock.UnixMs();
  const ProposeOutcome outcome =
    co_await Propose(m_services.m_control,
                     aContext.m_worker.Context(),
                     MakeCommand(std::move(resolve)),
                     aContext.m_arrival + kControlTimeout);
  if (!outcome.m_result) {
    co_await aResponder.SendError(Unavailable(outcome.m_reason));
  } else if (outcome.m_result->code != state::ResultCode::Ok) {
    const bool isMissing =
      outcome.m_result->code == state::ResultCode::NotFound;
    const ApiError error{ isMissing ? ApiErrorCode::NotFound
                                    : ApiErrorCode::Invalid,
                          outcome.m_result->text };
    co_await aResponder.SendError(error);
  } else {
    co_await aResponder.SendJson(200, "{\"code\":\"ok\"}");
  }
}

asio::awaitable<void>
TraceHandler::HandleOperator(const RequestContext& aContext,
                             Responder& aResponder)
{
  json::array spans;
  for (const Span& span : m_services.m_spans.Find(LastPart(aContext.m_path))) {
    json::object attributes;
    for (const SpanAttribute& attribute : span.m_attributes) {
      attributes[attribute.m_key] = attribute.m_value;
    }
    spans.push_back(json::object{ { "trace_id", span.m_traceId },
                                  { "span_id", span.m_spanId },
                                  { "parent_id", span.m_parentId },
                                  { "name", span.m_name },
                                  { "vm", m_services.m_spans.Vm() },
                                  { "start_unix_us", span.m_startUnixUs },
                                  { "duration_us", span.m_durationUs },
                                  { "failed", span.m_failed },
                                  { "attributes", std::move(attributes) } });
  }
  const json::object body{ { "spans", std::move(spans) } };
  co_await aResponder.SendJson(200, json::serialize(body));
}

} // namespace parsleycove
