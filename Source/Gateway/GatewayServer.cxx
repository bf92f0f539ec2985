// The HTTP side of a VM: listener, workers and routes.
#include "Gateway/GatewayServer.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/ActionQueryHandler.h"
#include "Gateway/ChatHandler.h"
#include "Gateway/ConfigHandlers.h"
#include "Gateway/EndpointHandlers.h"
#include "Gateway/FleetHandlers.h"
#include "Gateway/HealthHandlers.h"
#include "Gateway/Listener.h"
#include "Gateway/ServiceHandler.h"
#include "Gateway/Worker.h"
#include "Routing/FlowBound.h"
#include "State/ControlPort.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

namespace {

// How soon a new view of the cluster reaches the planners.
constexpr Duration kTableInterval = std::chrono::milliseconds(10);

using Workers = std::vector<std::unique_ptr<Worker>>;

// Tells every worker its share of what the runners of each model carry.
void
SpreadCapacities(const RunnerTable& aTable, const Workers& aWorkers)
{
  const double share = 1.0 / static_cast<double>(aWorkers.size());
  for (const ModelRunners& model : aTable.Models()) {
    const double capacity = ComputeFlowBound(aTable, model.m_name) * share;
    for (const auto& worker : aWorkers) {
      asio::post(worker->Context(),
                 [gate = &worker->Admission(), name = model.m_name, capacity] {
                   gate->SetCapacity(name, capacity);
                 });
    }
  }
}

// Publishes a new table of runners whenever the cluster's view has changed.
asio::awaitable<void>
KeepTableCurrent(const GatewayServices& aServices, const Workers& aWorkers)
{
  asio::steady_timer timer(aWorkers.front()->Context());
  boost::intrusive_ptr<const ClusterView> known;
  for (;;) {
    const auto view = aServices.m_control.View();
    if (view != known) {
      const auto previous = aServices.m_runners.Read();
      const auto next =
        RunnerTable::Build(BootClock::now(), *view, previous.get());
      aServices.m_runners.Publish(next);
      SpreadCapacities(*next, aWorkers);
      known = view;
    }
    timer.expires_after(kTableInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace

GatewayServer::GatewayServer(GatewayOptions aOptions,
                             const Clock& aClock,
                             ControlPort& aControl,
                             MetricRegistry& aMetrics,
                             SpanStore& aSpans)
  : m_options(std::move(aOptions))
  , m_drain(m_options.m_drainGrace)
  , m_runners(RunnerTable::Build(BootClock::now(), *aControl.View(), nullptr))
  , m_services{ m_options, aClock,  aControl, aMetrics,
                aSpans,    m_drain, m_runners }
{
  for (std::size_t i = 0; i < m_options.m_threads; ++i) {
    m_workers.push_back(std::make_unique<Worker>(m_services, i));
  }
  m_listener = std::make_unique<Listener>(m_services, m_router, m_workers);
  AddRoutes();
  AddOperatorRoutes();
  aMetrics.AddGauge("parsleycove_active_requests", "", [this] {
    return static_cast<double>(m_drain.Active());
  });
}

GatewayServer::~GatewayServer()
{
  Stop();
}

bool
GatewayServer::Start()
{
  std::string reason;
  if (!m_listener->Open(reason)) {
    m_reason.Set(GatewayError::CannotListen, std::move(reason));
    return false;
  }
  asio::io_context& first = m_workers.front()->Context();
  asio::co_spawn(
    first, KeepTableCurrent(m_services, m_workers), asio::detached);
  asio::co_spawn(first, m_listener->Run(), asio::detached);
  for (const auto& worker : m_workers) {
    worker->Start();
  }
  return true;
}

std::uint16_t
GatewayServer::Port() const
{
  return m_listener->Port();
}

void
GatewayServer::Stop()
{
  for (const auto& worker : m_workers) {
    worker->Stop();
  }
  for (const auto& worker : m_workers) {
    worker->Join();
  }
}

void
GatewayServer::AddRoutes()
{
  const auto exact = PathMatch::Exact;
  const auto prefix = PathMatch::Prefix;
  m_router.Add(http::verb::post,
               exact,
               "/v1/chat/completions",
               std::make_unique<ChatHandler>(m_services));
  m_router.Add(http::verb::unknown,
               prefix,
               "/v1/services/",
               std::make_unique<ServiceHandler>(m_services));
  m_router.Add(http::verb::get,
               prefix,
               "/v1/actions/",
               std::make_unique<ActionQueryHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/endpoints/announce",
               std::make_unique<AnnounceHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/endpoints/renew",
               std::make_unique<RenewHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/endpoints/leave",
               std::make_unique<LeaveHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/endpoints/events",
               std::make_unique<EventsHandler>(m_services));
  m_router.Add(
    http::verb::get, exact, "/healthz", std::make_unique<HealthHandler>());
  m_router.Add(http::verb::get,
               exact,
               "/readyz",
               std::make_unique<ReadyHandler>(m_services));
  m_router.Add(http::verb::get,
               exact,
               "/metrics",
               std::make_unique<MetricsHandler>(m_services));
}

void
GatewayServer::AddOperatorRoutes()
{
  const auto exact = PathMatch::Exact;
  const auto prefix = PathMatch::Prefix;
  m_router.Add(http::verb::get,
               exact,
               "/v1/admin/config",
               std::make_unique<ConfigHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/admin/changes",
               std::make_unique<ChangeHandler>(m_services));
  m_router.Add(http::verb::get,
               exact,
               "/v1/admin/in-force",
               std::make_unique<InForceHandler>(m_services));
  m_router.Add(http::verb::get,
               exact,
               "/v1/admin/status",
               std::make_unique<StatusHandler>(m_services));
  m_router.Add(http::verb::get,
               exact,
               "/v1/admin/self",
               std::make_unique<SelfHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/admin/drain",
               std::make_unique<DrainHandler>(m_services));
  m_router.Add(http::verb::post,
               exact,
               "/v1/admin/replicas",
               std::make_unique<ReplicaHandler>(m_services));
  m_router.Add(http::verb::delete_,
               prefix,
               "/v1/admin/replicas/",
               std::make_unique<ReplicaHandler>(m_services));
  m_router.Add(http::verb::unknown,
               prefix,
               "/v1/admin/actions/",
               std::make_unique<ActionAdminHandler>(m_services));
  m_router.Add(http::verb::get,
               prefix,
               "/v1/admin/traces/",
               std::make_unique<TraceHandler>(m_services));
}

} // namespace parsleycove
