// A gateway with a fake replicated state and a scripted service.
#include "Support/GatewayFixture.h"

#include <boost/json.hpp>

#include "Base/Digest.h"
#include "Forwarding/ControlCalls.h"
#include "State/ConfigJson.h"

namespace parsleycove {

namespace {

constexpr std::size_t kSmallBody = 2048;

GatewayOptions
MakeOptions(const std::string& aVm)
{
  GatewayOptions options;
  options.m_vm = aVm;
  options.m_zone = "zone1";
  options.m_epoch = 1;
  options.m_listen = { "127.0.0.1", 0 };
  options.m_operatorKeyHash = Sha256Hex(GatewayFixture::kOperatorKey);
  options.m_threads = 1;
  options.m_maxBodyBytes = kSmallBody;
  options.m_maxHeaderBytes = kSmallBody;
  return options;
}

state::CommandT
MakeSetUp()
{
  const std::string text =
    R"({"put_classes":[
      {"name":"booking","first_token_ms":20000,"token_interval_ms":0,
       "completion_ms":20000,"success_per_mille":999},
      {"name":"hasty","first_token_ms":300,"token_interval_ms":0,
       "completion_ms":300,"success_per_mille":999}],
     "put_accounts":[{"name":"ship","default_class":"booking","key_hash":")" +
    Sha256Hex(GatewayFixture::kAccountKey) +
    R"("}],"put_models":[{"name":"ice","version":"1","layers":4}],
     "put_services":[{"name":"escort","idempotent_prefixes":["/status"],
                      "reports_not_run":true}]})";
  StateReason reason;
  state::ApplyChangeT apply;
  apply.change_id = "set-up";
  apply.operator_name = "test";
  apply.unix_ms = SystemClock().UnixMs();
  apply.change =
    std::make_unique<state::ConfigChangeT>(*ParseConfigChange(text, reason));
  return MakeCommand(apply);
}

state::CommandT
MakeAnnouncement(std::uint16_t aPort)
{
  state::AnnounceEndpointT announce;
  announce.endpoint = std::make_unique<state::EndpointT>();
  state::EndpointT& endpoint = *announce.endpoint;
  endpoint.id = "escort-1";
  endpoint.incarnation = 1;
  endpoint.kind = state::EndpointKind::PlainService;
  endpoint.address = "127.0.0.1";
  endpoint.port = aPort;
  endpoint.zone = "zone1";
  endpoint.service = "escort";
  endpoint.slots = 8;
  return MakeCommand(announce);
}

// Before the first VM starts, so that its first table is complete.
FakeControl&
SetUp(FakeControl& aControl, std::uint16_t aPort)
{
  aControl.Apply(MakeSetUp());
  aControl.Apply(MakeAnnouncement(aPort));
  return aControl;
}

} // namespace

TestGateway::TestGateway(FakeControl& aControl, const std::string& aVm)
  : m_spans(aVm, "", 1000)
  , m_server(MakeOptions(aVm), m_clock, aControl, m_metrics, m_spans)
{
  m_server.Start();
}

GatewayFixture::GatewayFixture()
  : m_first(SetUp(m_control, m_service.Port()), "vm1")
  , m_second(m_control, "vm2")
{
}

TestResponse
GatewayFixture::Book(TestGateway& aGateway,
                     const std::string& aKey,
                     const std::string& aClass)
{
  return SendHttp(aGateway.Port(),
                  "POST",
                  "/v1/services/escort/bookings",
                  { { "Authorization", std::string("Bearer ") + kAccountKey },
                    { "Idempotency-Key", aKey },
                    { "X-Work-Class", aClass } },
                  R"({"ship":"Polaris"})");
}

std::string
ErrorField(const TestResponse& aResponse, const std::string& aField)
{
  boost::json::error_code error;
  const auto body = boost::json::parse(aResponse.m_body, error);
  if (error || !body.is_object() || !body.as_object().contains("error")) {
    return {};
  }
  const auto& fields = body.at("error").as_object();
  const auto* value = fields.if_contains(aField);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

} // namespace parsleycove
