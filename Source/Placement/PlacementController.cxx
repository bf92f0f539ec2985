// Assigns layers to engines while this VM's replica leads.
#include "Placement/PlacementController.h"

#include <utility>

#include "Telemetry/LoggedSpawn.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kReconcileIntervalMs{ 200 };

constexpr std::array<EnumName<OrderOutcome>, 5> kOutcomeNames{ {
  { OrderOutcome::Accepted, "taken" },
  { OrderOutcome::Refused, "refused" },
  { OrderOutcome::Fenced, "fenced" },
  { OrderOutcome::NotDelivered, "not_there" },
  { OrderOutcome::Unknown, "unknown" },
} };

constexpr std::array<EnumName<EngineProbeResult>, 3> kProbeResultNames{ {
  { EngineProbeResult::Answered, "it answers the leader" },
  { EngineProbeResult::Unreachable, "nothing listens at its address" },
  { EngineProbeResult::NoAnswer, "it does not answer the leader" },
} };

} // namespace

PlacementController::PlacementController(asio::io_context& aContext,
                                         ControlPort& aControl,
                                         const RoutingConfigCodec& aCodec,
                                         EngineOrders& aOrders,
                                         DecisionLog& aLog,
                                         TermReader aTerm)
  : m_context(aContext)
  , m_control(aControl)
  , m_codec(aCodec)
  , m_orders(aOrders)
  , m_log(aLog)
  , m_readTerm(std::move(aTerm))
  , m_timer(aContext)
{
}

void
PlacementController::Start()
{
  m_timer.expires_after(kReconcileIntervalMs);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Reconcile();
      Start();
    }
  });
}

void
PlacementController::Reconcile()
{
  const std::uint64_t term = m_readTerm();
  if (term != m_term) {
    m_term = term;
    m_isFenced = false;
    for (auto& [service, tracker] : m_trackers) {
      tracker.Reset();
    }
  }
  // The lease guarantees that the view is recent enough to base orders on.
  if (m_term == 0 || m_isFenced || !m_control.HasLease(BootClock::now())) {
    return;
  }
  UpdateView();
  if (m_config) {
    for (const ServiceRule& service : m_config->Services()) {
      if (service.m_model) {
        ReconcileService(service);
      }
    }
  }
}

void
PlacementController::UpdateView()
{
  auto view = m_control.View();
  if (view == m_view) {
    return;
  }
  m_view = std::move(view);
  m_runners = RunnerTable::Build(BootClock::now(), *m_view, m_runners.get());
  const auto& document = m_view->Image().document;
  if (!document || document->version <= m_documentVersion) {
    return;
  }
  m_documentVersion = document->version;
  RoutingReason reason;
  if (auto config =
        m_codec.Decode(document->text, reason, DocumentOrigin::Accepted)) {
    m_config = std::move(config);
    return;
  }
  // Documents are validated before they are accepted, so another release has
  // accepted this one.
  m_log.Write(DecisionEvent::ConfigRefused, [&](DecisionLine& aLine) {
    aLine.Add("version", static_cast<std::int64_t>(m_documentVersion))
      .Add("why", reason.m_text);
  });
}

void
PlacementController::ReconcileService(const ServiceRule& aService)
{
  const auto* engines = m_runners->FindService(aService.m_name);
  if (engines == nullptr) {
    return;
  }
  PlacementTracker& tracker = m_trackers[aService.m_name];
  for (RunnerPtr& engine :
       tracker.CollectEnginesToProbe(BootClock::now(), *engines)) {
    SpawnLogged(m_context,
                "probing an engine",
                ProbeEngine(aService.m_name, std::move(engine)));
  }
  for (DueOrder& order : tracker.CollectDueOrders(
         BootClock::now(), *aService.m_model, *engines)) {
    m_log.Write(DecisionEvent::OrderSent, [&](DecisionLine& aLine) {
      aLine.Add("endpoint", order.m_engine->m_id)
        .Add("kind", order.m_engine->m_accelerator)
        .Add("first_layer", order.m_span.m_first)
        .Add("end_layer", order.m_span.m_end)
        .Add("term", static_cast<std::int64_t>(m_term))
        .Add("index", static_cast<std::int64_t>(m_view->Index()));
    });
    SpawnLogged(m_context,
                "ordering layers",
                SendOrder(aService.m_name, std::move(order), m_term));
  }
}

asio::awaitable<void>
PlacementController::ProbeEngine(std::string aService, RunnerPtr aEngine)
{
  const EngineProbeResult result = co_await m_orders.Probe(aEngine);
  m_log.Write(result == EngineProbeResult::Answered
                ? DecisionEvent::EndpointCleared
                : DecisionEvent::EndpointSuspected,
              [&](DecisionLine& aLine) {
                aLine.Add("endpoint", aEngine->m_id)
                  .Add("address", aEngine->m_address.ToString())
                  .Add("why", NameOf(kProbeResultNames, result));
              });
  m_trackers[aService].RecordProbeResult(*aEngine, result);
}

asio::awaitable<void>
PlacementController::SendOrder(std::string aService,
                               DueOrder aOrder,
                               std::uint64_t aTerm)
{
  const OrderOutcome outcome =
    co_await m_orders.HoldLayers(aOrder.m_engine, aOrder.m_span, aTerm);
  m_log.Write(DecisionEvent::OrderAnswered, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aOrder.m_engine->m_id)
      .Add("outcome", NameOf(kOutcomeNames, outcome))
      .Add("term", static_cast<std::int64_t>(aTerm));
  });
  if (aTerm != m_term) {
    co_return;
  }
  m_isFenced = m_isFenced || outcome == OrderOutcome::Fenced;
  m_trackers[aService].RecordOrderOutcome(
    BootClock::now(), *aOrder.m_engine, outcome);
}

} // namespace parsleycove
