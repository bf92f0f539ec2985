// Watches this VM's links to the endpoints of each service, and knows the VMs
// that take requests over where the links are lost.
#include "Forwarding/ReachMonitor.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Forwarding/ControlCalls.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/PromptPartReporter.h"
#include "State/EntryGatewayTable.h"
#include "State/NamedEntities.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/LoggedSpawn.h"

namespace parsleycove {

namespace {

// Availability zones are about 1 ms apart.
constexpr Duration kTrialTimeout = std::chrono::milliseconds(80);
// A question for the health of a plain endpoint may wait for a slot.
constexpr Duration kHealthTimeout = std::chrono::milliseconds(300);
constexpr unsigned kHttp11 = 11;
// A VM that stops, has no lease or is too busy is left out for this time.
constexpr Duration kHelperEjection = std::chrono::milliseconds(150);
// A report waits this long for a witness before a connection is tried to find
// one: in a busy fleet another endpoint answers within a few milliseconds.
constexpr Duration kWitnessDelay = std::chrono::milliseconds(20);
// Links come back after some seconds; a report that has waited longer tells
// nothing that the endpoint's own announcements do not tell.
constexpr Duration kReportLifetime = std::chrono::seconds(3);
constexpr std::size_t kMaxReports = 1024;
constexpr Duration kProposeTimeout = std::chrono::milliseconds(800);
// An announcement that the view does not show by then is sent again, and a
// change of the reached services waits so long.
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(900);

} // namespace

ReachMonitor::ReachMonitor(asio::io_context& aContext,
                           const ForwardOptions& aOptions,
                           const ForwardDialect& aDialect,
                           RoutingState& aRouting,
                           ControlPort& aControl,
                           PromptPartReporter& aPromptParts,
                           DecisionLog& aLog,
                           ForwardMetrics& aMetrics)
  : m_context(aContext)
  , m_options(aOptions)
  , m_dialect(aDialect)
  , m_routing(aRouting)
  , m_control(aControl)
  , m_promptParts(aPromptParts)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_client(aContext.get_executor(), EndpointClient::kMaxShortHeldBytes)
  , m_helpers(aOptions.m_vm, aOptions.m_zone, aOptions.m_seed + 2)
{
}

void
ReachMonitor::Check(TimePoint aNow)
{
  for (auto& [service, reach] : m_services) {
    CheckService(aNow, service, reach);
  }
  FlushReports(aNow);
  FlushAnnouncement(aNow);
}

ServiceReach&
ReachMonitor::ReachOf(const std::string& aService)
{
  return m_services.try_emplace(aService).first->second;
}

const std::vector<RunnerPtr>&
ReachMonitor::EndpointsOf(const std::string& aService) const
{
  static const std::vector<RunnerPtr> kNone;
  const RunnerTable* table = m_routing.Runners();
  const auto* endpoints = table ? table->FindService(aService) : nullptr;
  return endpoints ? *endpoints : kNone;
}

void
ReachMonitor::CheckService(TimePoint aNow,
                           const std::string& aService,
                           ServiceReach& aReach)
{
  if (!aReach.NeedsCheck(aNow)) {
    return;
  }
  const auto& endpoints = EndpointsOf(aService);
  if (aReach.Update(aNow, endpoints)) {
    RecordLost(aService, aReach);
  }
  if (RunnerPtr endpoint = aReach.TakeTrial(aNow, endpoints)) {
    StartTrial(aService, std::move(endpoint));
  }
}

void
ReachMonitor::StartTrial(const std::string& aService, RunnerPtr aEndpoint)
{
  SpawnLogged(m_context,
              "trying a connection",
              TryConnection(aService, std::move(aEndpoint)));
}

asio::awaitable<bool>
ReachMonitor::Connect(RunnerPtr aEndpoint)
{
  beast::tcp_stream stream(m_context);
  stream.expires_after(
    std::chrono::duration_cast<asio::steady_timer::duration>(kTrialTimeout));
  beast::error_code error;
  const auto ip = asio::ip::make_address(aEndpoint->m_address.m_address, error);
  if (error) {
    co_return false;
  }
  ++m_metrics.NewConnections();
  const auto [failure] = co_await stream.async_connect(
    Tcp::endpoint(ip, aEndpoint->m_address.m_port),
    asio::as_tuple(asio::use_awaitable));
  co_return !failure;
}

asio::awaitable<bool>
ReachMonitor::Ask(RunnerPtr aEndpoint, std::string aPath, Duration aTimeout)
{
  HttpRequest request(http::verb::get, aPath, kHttp11);
  request.set(http::field::host, aEndpoint->m_address.ToString());
  ++m_metrics.Probes();
  const CallResult result = co_await m_client.Call(
    aEndpoint->m_address, std::move(request), aTimeout, ConnectionChoice::New);
  co_return result.m_response.has_value();
}

std::string
ReachMonitor::HealthPathOf(const std::string& aService) const
{
  const RoutingConfig* config = m_routing.Config();
  if (config != nullptr) {
    for (const ServiceRule& service : config->Services()) {
      if (service.m_name == aService) {
        return service.m_healthPath;
      }
    }
  }
  return {};
}

asio::awaitable<void>
ReachMonitor::TryConnection(std::string aService, RunnerPtr aEndpoint)
{
  const TimePoint since = BootClock::now();
  const bool isEngine = aEndpoint->m_kind == state::EndpointKind::ManagedEngine;
  const std::string path = isEngine ? std::string(m_dialect.EngineStatePath())
                                    : HealthPathOf(aService);
  bool isReached = false;
  const bool isAsked = isEngine || ReachOf(aService).IsInDoubt();
  if (isAsked && !path.empty()) {
    isReached =
      co_await Ask(aEndpoint, path, isEngine ? kTrialTimeout : kHealthTimeout);
  } else {
    isReached = co_await Connect(aEndpoint);
  }
  const TimePoint now = BootClock::now();
  if (isReached) {
    RecordReached(now, *aEndpoint);
  } else {
    aEndpoint->m_load->RecordUnreached(since);
  }
  ServiceReach& reach = ReachOf(aService);
  if (reach.RecordTrial(now, isReached)) {
    RecordReturned(now, aService, reach);
  }
  FlushReports(now);
}

void
ReachMonitor::RecordLost(const std::string& aService,
                         const ServiceReach& aReach)
{
  DropReports(aService);
  RefreshHelpers();
  ++m_metrics.LostServices();
  const ReachEvidence& evidence = aReach.Evidence();
  m_log.Write(DecisionEvent::EndpointsUnreached, [&](DecisionLine& aLine) {
    aLine.Add("service", aService)
      .Add("listed", static_cast<std::int64_t>(evidence.m_listed))
      .Add("tried_in_vain", static_cast<std::int64_t>(evidence.m_unreached))
      .AddMs("last_contact_ms_ago",
             evidence.m_lastContactAt == TimePoint{}
               ? Duration::zero()
               : aReach.UnreachedSince() - evidence.m_lastContactAt)
      .Add("gateways", static_cast<std::int64_t>(m_helpers.Count()));
  });
}

void
ReachMonitor::RecordReturned(TimePoint aNow,
                             const std::string& aService,
                             const ServiceReach& aReach)
{
  // The endpoints were out of reach for this VM, and have not failed. Probing
  // all of them at once would be a burst on the links that are just back.
  for (const RunnerPtr& endpoint : EndpointsOf(aService)) {
    if (!endpoint->m_isSuspected) {
      endpoint->m_load->ResetCircuit();
    }
  }
  m_routing.InvalidatePaths();
  m_log.Write(DecisionEvent::EndpointsReached, [&](DecisionLine& aLine) {
    aLine.Add("service", aService)
      .Add("why", "connections to its endpoints succeed again")
      .AddMs("unreached_ms", aNow - aReach.UnreachedSince());
  });
}

void
ReachMonitor::RecordReached(TimePoint aNow, const Runner& aEndpoint)
{
  aEndpoint.m_load->RecordReached(aNow);
}

void
ReachMonitor::RecordUnreached(TimePoint aSince, const Runner& aEndpoint)
{
  if (!aEndpoint.m_isGateway) {
    aEndpoint.m_load->RecordUnreached(aSince);
    const TimePoint now = BootClock::now();
    ServiceReach& reach = ReachOf(aEndpoint.m_service);
    reach.RecordAttempt(now);
    CheckService(now, aEndpoint.m_service, reach);
  }
}

void
ReachMonitor::RecordWaiting(TimePoint aSentAt, const Runner& aEndpoint)
{
  if (!aEndpoint.m_isGateway) {
    ReachOf(aEndpoint.m_service).RecordWaiting(aSentAt);
  }
}

bool
ReachMonitor::IsUnreached(const std::string& aService) const
{
  const auto found = m_services.find(aService);
  return found != m_services.end() && found->second.IsUnreached();
}

bool
ReachMonitor::HasLostLinks(const std::string& aService) const
{
  const auto found = m_services.find(aService);
  return found != m_services.end() && found->second.Evidence().m_unreached != 0;
}

void
ReachMonitor::RefreshHelpers()
{
  if (auto view = m_control.View(); view != m_helpersView) {
    m_helpersView = std::move(view);
    m_helpers.Apply(*m_helpersView);
  }
}

RunnerPtr
ReachMonitor::PickHelper(TimePoint aNow,
                         const std::string& aService,
                         const std::vector<std::string>& aExcluded)
{
  RefreshHelpers();
  return m_helpers.Pick(aNow, { aService, aExcluded });
}

void
ReachMonitor::RecordHelperRefusal(TimePoint aNow,
                                  const Runner& aHelper,
                                  const std::string& aService,
                                  RefusalCause aCause)
{
  if (aCause == RefusalCause::EndpointsUnreached) {
    m_helpers.RecordUnreached(aNow, aHelper, aService);
  } else {
    aHelper.m_load->EjectFor(aNow, kHelperEjection);
  }
}

void
ReachMonitor::ReportFailure(TimePoint aSince,
                            const RunnerPtr& aEndpoint,
                            FailureEvidence aEvidence)
{
  const TimePoint now = BootClock::now();
  if (aEvidence == FailureEvidence::Certain) {
    m_promptParts.RecordLostEngine(now, *aEndpoint);
  }
  if (IsUnreached(aEndpoint->m_service)) {
    return;
  }
  const auto known = std::find_if(
    m_reports.begin(), m_reports.end(), [&](const PendingReport& aReport) {
      return IncarnationKey(*aReport.m_endpoint) == IncarnationKey(*aEndpoint);
    });
  if (known != m_reports.end()) {
    if (aEvidence == FailureEvidence::Certain) {
      known->m_evidence = aEvidence;
    }
    return;
  }
  if (m_reports.size() >= kMaxReports) {
    return;
  }
  m_reports.push_back({ aEndpoint, aEvidence, aSince, now });
  // The next request may crash the next endpoint.
  if (aEvidence == FailureEvidence::Certain) {
    const std::string& service = aEndpoint->m_service;
    ServiceReach& reach = ReachOf(service);
    reach.RequestTrial();
    if (RunnerPtr other = reach.TakeTrial(now, EndpointsOf(service))) {
      StartTrial(service, std::move(other));
    }
  }
}

void
ReachMonitor::DropReports(const std::string& aService)
{
  std::erase_if(m_reports, [&](const PendingReport& aReport) {
    return aReport.m_endpoint->m_service == aService;
  });
}

void
ReachMonitor::FlushReports(TimePoint aNow)
{
  std::erase_if(m_reports, [&](const PendingReport& aReport) {
    return TrySend(aNow, aReport);
  });
}

bool
ReachMonitor::TrySend(TimePoint aNow, const PendingReport& aReport)
{
  const Runner& endpoint = *aReport.m_endpoint;
  if (endpoint.m_load->ReachedAt() > aReport.m_since) {
    return true; // it has answered since
  }
  if (ServiceReach::HasWitness(
        endpoint, aReport.m_since, EndpointsOf(endpoint.m_service))) {
    m_routing.ReportFailure(endpoint, aReport.m_evidence);
    if (aReport.m_evidence == FailureEvidence::Certain) {
      m_promptParts.ConfirmLostEngine(aNow, endpoint);
    }
    return true;
  }
  const Duration age = aNow - aReport.m_recordedAt;
  if (age >= kReportLifetime) {
    return true;
  }
  if (age >= kWitnessDelay) {
    ReachOf(endpoint.m_service).RequestTrial();
  }
  return false;
}

void
ReachMonitor::Announce(const SocketAddress& aAddress)
{
  m_own.vm = m_options.m_vm;
  m_own.zone = m_options.m_zone;
  m_own.address = aAddress.m_address;
  m_own.port = aAddress.m_port;
}

void
ReachMonitor::AnnounceStopping()
{
  m_isStopping = true;
  m_announcedAt = TimePoint{};
}

bool
ReachMonitor::IsAnnounced(const state::ConfigImageT& aImage,
                          const state::EntryGatewayT& aGateway) const
{
  const state::EntryGatewayT* listed = FindEntity(aImage.gateways, aGateway.vm);
  if (m_isStopping || listed == nullptr) {
    return m_isStopping && listed == nullptr;
  }
  return listed->address == aGateway.address && listed->port == aGateway.port &&
         listed->zone == aGateway.zone &&
         listed->unreached == aGateway.unreached;
}

void
ReachMonitor::FlushAnnouncement(TimePoint aNow)
{
  if (m_own.vm.empty() || aNow - m_announcedAt < kAnnounceInterval) {
    return;
  }
  m_own.unreached.clear();
  for (const auto& [service, reach] : m_services) {
    if (reach.IsUnreached()) {
      m_own.unreached.push_back(service);
    }
  }
  const auto view = m_control.View();
  const bool isRefreshDue =
    aNow - m_announcedAt >= std::chrono::milliseconds(kGatewayRefreshMs);
  if (IsAnnounced(view->Image(), m_own) && !isRefreshDue) {
    return;
  }
  m_announcedAt = aNow;
  state::AnnounceGatewayT announce;
  announce.gateway = std::make_unique<state::EntryGatewayT>(m_own);
  announce.leaving = m_isStopping;
  // An announcement that is lost is made again, since the view does not show
  // it.
  m_control.Propose(MakeCommand(std::move(announce)),
                    aNow + kProposeTimeout,
                    [](const auto&, const ControlReason&) {});
}

} // namespace parsleycove
