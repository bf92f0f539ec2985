// Tests of the leader's looks at engines: who is asked, who gets orders.
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "ConfigDocument.h"
#include "Placement/PlacementController.h"
#include "Support/FakeControl.h"
#include "Support/MemorySink.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

const std::string kConfig =
  R"({"routes":[],"services":[{"name":"model","engine":{"layers":4,
 "layer-mb":10,"kv-token-bytes":1000,"step_ms":1,"read_per_s":1000,
 "kinds":[{"name":"card","mb":1000,"pace":1,"read-x":1}]}}],
 "limits":{"max-header-bytes":2048,"max-body-bytes":4096},
 "tenants":[],"version":1})";

// Notes orders and answers all questions alike.
class FakeEngineOrders final : public EngineOrders
{
public:
  asio::awaitable<EngineProbeResult> Probe(RunnerPtr aEngine) override
  {
    m_probed.push_back(aEngine->m_id);
    co_return m_probeResult;
  }
  asio::awaitable<OrderOutcome> HoldLayers(RunnerPtr aEngine,
                                           LayerSpan aSpan,
                                           std::uint64_t /*aFence*/) override
  {
    m_orders.emplace_back(aEngine->m_id, aSpan);
    co_return OrderOutcome::Accepted;
  }

  EngineProbeResult m_probeResult = EngineProbeResult::Answered;
  std::vector<std::string> m_probed;
  std::vector<std::pair<std::string, LayerSpan>> m_orders;
};

} // namespace

// clang-format off
TEST_GROUP(PlacementController)
{
  boost::asio::io_context m_context;
  FakeControl m_control;
  MemorySink m_sink;
  DecisionLog m_log{ "vm-1", m_sink };
  platform::ConfigDocument m_codec;
  FakeEngineOrders m_orders;
  PlacementController m_controller{
    m_context, m_control, m_codec, m_orders, m_log, [] { return 7ULL; }
  };

  void setup() override
  {
    state::PutDocumentT put;
    put.document = std::make_unique<state::RoutingDocumentT>();
    put.document->version = 1;
    put.document->text = kConfig;
    Apply(std::move(put));
    Announce("e1", 0, 2);
    Announce("e2", 2, 4);
  }

  template<typename Body>
  void Apply(Body aBody)
  {
    state::CommandT command;
    command.body.Set(std::move(aBody));
    CHECK(m_control.Apply(command).code == state::ResultCode::Ok);
  }
  void Announce(const std::string& aId, std::uint32_t aFirst, std::uint32_t aEnd)
  {
    state::AnnounceEndpointT announce;
    announce.endpoint = std::make_unique<state::EndpointT>();
    state::EndpointT& endpoint = *announce.endpoint;
    endpoint.id = aId;
    endpoint.kind = state::EndpointKind::ManagedEngine;
    endpoint.service = "model";
    endpoint.accelerator = "card";
    endpoint.zone = "zone-a";
    endpoint.address = "127.0.0.1";
    endpoint.port = aId == "e1" ? 1001 : 1002;
    endpoint.incarnation = 1;
    endpoint.report = 1;
    endpoint.slots = 8;
    endpoint.first_layer = aFirst;
    endpoint.layer_count = aEnd - aFirst;
    Apply(std::move(announce));
  }
  void Suspect(const std::string& aId)
  {
    state::SuspectEndpointT suspect;
    suspect.endpoint = std::make_unique<state::EndpointRefT>();
    suspect.endpoint->id = aId;
    suspect.endpoint->incarnation = 1;
    Apply(std::move(suspect));
  }
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    m_controller.Start();
    const auto deadline = BootClock::now() + std::chrono::seconds(30);
    while (!aCondition() && BootClock::now() < deadline) {
      m_context.run_one_for(std::chrono::milliseconds(100));
    }
    return aCondition();
  }
};
// clang-format on

// Load pattern: an engine of a zone's only chain crashes at the peak.
TEST(PlacementController, AnEngineThatIsGoneIsReplaced)
{
  m_orders.m_probeResult = EngineProbeResult::Unreachable;
  Suspect("e2");
  CHECK(RunUntil([this] { return !m_orders.m_orders.empty(); }));
  STRCMP_EQUAL("e1", m_orders.m_orders[0].first.c_str());
  CHECK_EQUAL(0U, m_orders.m_orders[0].second.m_first);
  CHECK_EQUAL(4U, m_orders.m_orders[0].second.m_end);
  CHECK_EQUAL(1U, m_orders.m_probed.size());
  CHECK(m_sink.Has(
    { "endpoint_suspected", "\"e2\"", "nothing listens at its address" }));
}

// The report was wrong: the engine announces itself within 1.2 s.
TEST(PlacementController, AnEngineThatAnswersIsToldSo)
{
  Suspect("e2");
  CHECK(RunUntil([this] { return !m_orders.m_probed.empty(); }));
  CHECK(RunUntil([this] {
    return m_sink.Has(
      { "endpoint_cleared", "\"e2\"", "it answers the leader" });
  }));
  CHECK(m_orders.m_orders.empty());
}

TEST(PlacementController, OnlySuspectedEnginesAreAsked)
{
  Suspect("e1");
  CHECK(RunUntil([this] { return m_orders.m_probed.size() >= 2; }));
  for (const std::string& asked : m_orders.m_probed) {
    STRCMP_EQUAL("e1", asked.c_str());
  }
}
