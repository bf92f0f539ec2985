// Gives engines their layers while this VM's replica leads.
#include "Placement/PlacementController.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kLookIntervalMs{ 200 };

constexpr std::array<EnumName<OrderOutcome>, 5> kOutcomeNames{ {
  { OrderOutcome::Taken, "taken" },
  { OrderOutcome::Refused, "refused" },
  { OrderOutcome::Fenced, "fenced" },
  { OrderOutcome::NotThere, "not_there" },
  { OrderOutcome::Unknown, "unknown" },
} };

constexpr std::array<EnumName<EnginePresence>, 3> kPresenceNames{ {
  { EnginePresence::Answers, "it answers the leader" },
  { EnginePresence::Gone, "nothing listens at its address" },
  { EnginePresence::Silent, "it does not answer the leader" },
} };

} // namespace

PlacementDirector::PlacementDirector(asio::io_context& aContext,
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
PlacementDirector::Start()
{
  m_timer.expires_after(kLookIntervalMs);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Look();
      Start();
    }
  });
}

void
PlacementDirector::Look()
{
  const std::uint64_t term = m_readTerm();
  if (term != m_term) {
    m_term = term;
    m_isFenced = false;
    for (auto& [service, desk] : m_desks) {
      desk.Reset();
    }
  }
  // A lease says that the copy is recent enough to give orders by.
  if (m_term == 0 || m_isFenced || !m_control.HasLease(BootClock::now())) {
    return;
  }
  Follow();
  if (m_config) {
    for (const ServiceRule& service : m_config->Services()) {
      if (service.m_model) {
        Direct(service);
      }
    }
  }
}

void
PlacementDirector::Follow()
{
  auto view = m_control.View();
  if (view == m_view) {
    return;
  }
  m_view = std::move(view);
  m_runners = RunnerTable::Build(*m_view, m_runners.get());
  const auto& document = m_view->Image().document;
  if (!document || document->version <= m_documentVersion) {
    return;
  }
  m_documentVersion = document->version;
  RoutingReason reason;
  if (auto config = m_codec.Decode(document->text, reason)) {
    m_config = std::move(config);
    return;
  }
  // It was checked before it was accepted, so another release accepted it.
  m_log.Write(DecisionEvent::ConfigRefused, [&](DecisionLine& aLine) {
    aLine.Add("version", static_cast<std::int64_t>(m_documentVersion))
      .Add("why", reason.m_text);
  });
}

void
PlacementDirector::Direct(const ServiceRule& aService)
{
  const auto* engines = m_runners->FindService(aService.m_name);
  if (engines == nullptr) {
    return;
  }
  PlacementDesk& desk = m_desks[aService.m_name];
  for (RunnerPtr& engine : desk.FindUnsure(BootClock::now(), *engines)) {
    asio::co_spawn(
      m_context, Inquire(aService.m_name, std::move(engine)), asio::detached);
  }
  for (DueOrder& order :
       desk.FindDue(BootClock::now(), *aService.m_model, *engines)) {
    m_log.Write(DecisionEvent::OrderSent, [&](DecisionLine& aLine) {
      aLine.Add("endpoint", order.m_engine->m_id)
        .Add("kind", order.m_engine->m_accelerator)
        .Add("first_layer", order.m_span.m_first)
        .Add("end_layer", order.m_span.m_end)
        .Add("term", static_cast<std::int64_t>(m_term))
        .Add("index", static_cast<std::int64_t>(m_view->Index()));
    });
    asio::co_spawn(m_context,
                   Give(aService.m_name, std::move(order), m_term),
                   asio::detached);
  }
}

asio::awaitable<void>
PlacementDirector::Inquire(std::string aService, RunnerPtr aEngine)
{
  const EnginePresence presence = co_await m_orders.Ask(aEngine);
  m_log.Write(presence == EnginePresence::Answers
                ? DecisionEvent::EndpointCleared
                : DecisionEvent::EndpointSuspected,
              [&](DecisionLine& aLine) {
                aLine.Add("endpoint", aEngine->m_id)
                  .Add("address", aEngine->m_address.ToString())
                  .Add("why", NameOf(kPresenceNames, presence));
              });
  m_desks[aService].NotePresence(*aEngine, presence);
}

asio::awaitable<void>
PlacementDirector::Give(std::string aService,
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
  m_desks[aService].NoteOutcome(BootClock::now(), *aOrder.m_engine, outcome);
}

} // namespace parsleycove
