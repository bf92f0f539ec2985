// A gateway before two engines for each of three stages of one model.
#include "Faults/StreamFixture.h"

#include <thread>

#include "Base/Digest.h"
#include "Forwarding/ControlCalls.h"
#include "State/ConfigJson.h"
#include "Support/ToyModel.h"

namespace parsleycove {

namespace {

constexpr const char* kContent = "Ice window for the Kara strait?";
// Long enough for a fault to hit the stream while it runs.
constexpr double kRoundMs = 2;

FakeControl&
SetUp(FakeControl& aControl)
{
  const std::string text =
    R"({"put_classes":[{"name":"briefing","first_token_ms":1500,
        "token_interval_ms":40,"completion_ms":60000,"success_per_mille":950}],
        "put_accounts":[{"name":"ship","default_class":"briefing",
        "key_hash":")" +
    Sha256Hex(GatewayFixture::kAccountKey) +
    R"("}],"put_models":[{"name":"ice","version":"1","layers":12}]})";
  StateReason reason;
  state::ApplyChangeT apply;
  apply.change_id = "set-up";
  apply.operator_name = "test";
  apply.unix_ms = SystemClock().UnixMs();
  apply.change =
    std::make_unique<state::ConfigChangeT>(*ParseConfigChange(text, reason));
  aControl.Apply(MakeCommand(apply));
  return aControl;
}

fakes::EngineOptions
MakeEngine(std::size_t aStage, std::size_t aNumber, std::uint16_t aGateway)
{
  constexpr std::uint32_t kRange =
    StreamFixture::kLayers / StreamFixture::kStages;
  fakes::EngineOptions options;
  options.m_gateways = { { "127.0.0.1", aGateway } };
  options.m_id =
    "engine-" + std::to_string(aStage) + "-" + std::to_string(aNumber);
  options.m_zone = "zone1";
  options.m_model = "ice";
  options.m_firstLayer = static_cast<std::uint32_t>(aStage) * kRange;
  options.m_lastLayer = options.m_firstLayer + kRange - 1;
  options.m_modelLayers = StreamFixture::kLayers;
  options.m_tokensPerSecond = 20000;
  options.m_roundMs = kRoundMs;
  return options;
}

} // namespace

StreamFixture::StreamFixture()
  : m_gateway(SetUp(m_control), "vm1")
{
  for (std::size_t stage = 0; stage < kStages; ++stage) {
    for (std::size_t number = 0; number < kEnginesPerStage; ++number) {
      m_engines.push_back(std::make_unique<EngineHost>(
        MakeEngine(stage, number, m_gateway.Port())));
    }
  }
  while (m_gateway.Server().CountRunners() < m_engines.size()) {
    std::this_thread::yield();
  }
}

std::unique_ptr<EventReader>
StreamFixture::Ask()
{
  const std::string body =
    R"({"model":"ice","stream":true,"seed":)" + std::to_string(kSeed) +
    R"(,"max_tokens":)" + std::to_string(kTokens) +
    R"(,"messages":[{"role":"user","content":")" + kContent + R"("}]})";
  return std::make_unique<EventReader>(
    m_gateway.Port(), GatewayFixture::kAccountKey, body);
}

EngineHost&
StreamFixture::EngineInUse(std::size_t aStage)
{
  const std::size_t first = aStage * kEnginesPerStage;
  for (std::size_t i = first; i < first + kEnginesPerStage; ++i) {
    if (m_engines[i]->HasRun()) {
      return *m_engines[i];
    }
  }
  return *m_engines[first];
}

std::string
StreamFixture::ExpectedText()
{
  return toy::Generate(
    "user: " + std::string(kContent) + "\n", kLayers, kSeed, kTokens);
}

} // namespace parsleycove
