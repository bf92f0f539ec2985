// Holds the state a gateway routes by: configuration, endpoints and paths.
#include "Forwarding/RoutingState.h"

#include <algorithm>

#include "Forwarding/ControlCalls.h"
#include "Forwarding/ForwardMetrics.h"
#include "State/EntryGatewayTable.h"
#include "Telemetry/DecisionLog.h"
#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr Duration kReportTimeout = std::chrono::milliseconds(800);

} // namespace

RoutingState::RoutingState(const ForwardOptions& aOptions,
                           ControlPort& aControl,
                           const RoutingConfigCodec& aCodec,
                           DecisionLog& aLog)
  : m_options(aOptions)
  , m_control(aControl)
  , m_codec(aCodec)
  , m_log(aLog)
  , m_view(aControl.View())
  , m_picker(aOptions.m_seed)
  , m_limits(aOptions.m_vm)
  , m_random(aOptions.m_seed + 1)
{
}

asio::awaitable<bool>
RoutingState::Confirm(asio::io_context& aContext,
                      TimePoint aDeadline,
                      std::string& aReason)
{
  const ConfirmOutcome outcome =
    co_await ConfirmView(m_control, aContext, aDeadline);
  aReason = outcome.m_reason.m_text;
  co_return outcome.m_confirmed;
}

std::uint32_t
RoutingState::GatewayCount() const
{
  return EstimateGatewayCount(m_control.GatewayCount(), m_view->Image());
}

void
RoutingState::Refresh(TimePoint aNow)
{
  UpdateLease(aNow);
  auto view = m_control.View();
  if (view == m_view && m_runners) {
    return;
  }
  m_view = std::move(view);
  ApplyDocument(*m_view);
  ApplyEndpoints(*m_view);
}

void
RoutingState::UpdateLease(TimePoint aNow)
{
  const bool hasLease = HasLease(aNow);
  if (hasLease == m_hadLease) {
    return;
  }
  m_hadLease = hasLease;
  if (!hasLease) {
    m_leaseLostAt = aNow;
  }
  m_log.Write(hasLease ? DecisionEvent::DependencyRegained
                       : DecisionEvent::DependencyLost,
              [&](DecisionLine& aLine) {
                aLine.Add("dependency", "control group")
                  .Add("why",
                       hasLease
                         ? "a quorum confirmed this VM's view"
                         : "no quorum confirmed this VM's view within a lease")
                  .Add("index", static_cast<std::int64_t>(m_view->Index()));
              });
}

void
RoutingState::ApplyDocument(const ClusterView& aView)
{
  const auto& document = aView.Image().document;
  if (!document || document->version <= m_documentVersion) {
    return;
  }
  m_documentVersion = document->version;
  RoutingReason reason;
  auto config =
    m_codec.Decode(document->text, reason, DocumentOrigin::Accepted);
  if (!config) {
    // Documents are validated before they are accepted, so a replica of another
    // release accepted this one.
    m_log.Write(DecisionEvent::ConfigRefused, [&](DecisionLine& aLine) {
      aLine.Add("version", static_cast<std::int64_t>(document->version))
        .Add("why", reason.m_text);
    });
    return;
  }
  m_config = std::move(config);
  for (const ServiceRule& service : m_config->Services()) {
    ServiceRoutingState& serviceState = ServiceState(service.m_name);
    serviceState.m_urgency = { *m_config, service.m_name };
    if (service.m_model) {
      serviceState.m_paths.SetAims(FindServiceAims(*m_config, service.m_name));
    }
  }
  m_log.Write(DecisionEvent::ConfigInForce, [&](DecisionLine& aLine) {
    aLine.Add("version", static_cast<std::int64_t>(document->version))
      .Add("routes", static_cast<std::int64_t>(m_config->Routes().size()))
      .Add("index", static_cast<std::int64_t>(aView.Index()));
  });
}

void
RoutingState::ApplyEndpoints(const ClusterView& aView)
{
  const TimePoint now = BootClock::now();
  m_runners = RunnerTable::Build(now, aView, m_runners.get());
  m_leaving.Restore(*m_runners);
  m_limits.Apply(now, aView.Image(), *m_runners, GatewayCount());
  if (!m_config) {
    return;
  }
  static const std::vector<RunnerPtr> kNone;
  for (const ServiceRule& service : m_config->Services()) {
    if (service.m_model) {
      const auto* engines = m_runners->FindService(service.m_name);
      ServiceState(service.m_name)
        .m_paths.SetEngines(*service.m_model,
                            engines == nullptr ? kNone : *engines);
    }
  }
}

ServiceRoutingState&
RoutingState::ServiceState(const std::string& aService)
{
  auto& serviceState = m_serviceStates[aService];
  if (!serviceState) {
    serviceState = std::make_unique<ServiceRoutingState>(m_options);
  }
  return *serviceState;
}

std::optional<std::size_t>
RoutingState::LevelOf(const std::string& aService,
                      const RouteRule& aRoute,
                      const AccountRule* aAccount)
{
  const UrgencyScale& scale = ServiceState(aService).m_urgency;
  return scale.IsGraded()
           ? std::optional(scale.LevelOf(UrgencyOf(aRoute, aAccount)))
           : std::nullopt;
}

void
RoutingState::PublishQueues(TimePoint aNow, ForwardMetrics& aMetrics)
{
  constexpr double kPercent = 100;
  for (std::size_t level = 0; level < ForwardMetrics::kMaxLevels; ++level) {
    std::size_t waiting = 0;
    double reserved = 0;
    for (const auto& [name, serviceState] : m_serviceStates) {
      PathQueue& queue = serviceState->m_queue;
      waiting += queue.WaitingAt(level);
      reserved = std::max(reserved, queue.ReservedAgainst(aNow, level));
    }
    aMetrics.SetQueue(level, waiting, kPercent * reserved);
  }
}

RunnerPtr
RoutingState::PickEndpoint(TimePoint aNow, const PickRequest& aRequest)
{
  return m_runners ? m_picker.Pick(aNow, *m_runners, aRequest) : nullptr;
}

const std::string&
RoutingState::ChooseService(const RouteRule& aRoute)
{
  std::uint64_t sum = 0;
  for (const WeightedService& share : aRoute.m_services) {
    sum += share.m_weight;
  }
  std::uint64_t draw = m_random.Below(std::max<std::uint64_t>(sum, 1));
  for (const WeightedService& share : aRoute.m_services) {
    if (draw < share.m_weight) {
      return share.m_service;
    }
    draw -= share.m_weight;
  }
  return aRoute.m_services.back().m_service;
}

void
RoutingState::ReportFailure(const Runner& aRunner, FailureEvidence aEvidence)
{
  const Runner* listed =
    m_runners ? m_runners->FindRunner(aRunner.m_id) : nullptr;
  if (listed == nullptr || listed->m_incarnation != aRunner.m_incarnation ||
      listed->m_isSuspected) {
    return;
  }
  state::SuspectEndpointT suspect;
  suspect.endpoint = std::make_unique<state::EndpointRefT>();
  suspect.endpoint->id = aRunner.m_id;
  suspect.endpoint->incarnation = aRunner.m_incarnation;
  if (aEvidence == FailureEvidence::Timeout && !IsInLocalZone(aRunner)) {
    suspect.unsure_gateway = m_options.m_vm;
  }
  m_log.Write(DecisionEvent::EndpointReported, [&](DecisionLine& aLine) {
    aLine.Add("endpoint", aRunner.m_id)
      .Add("evidence",
           aEvidence == FailureEvidence::Certain ? "certain" : "timeout");
  });
  state::CommandT command;
  command.body.Set(std::move(suspect));
  // A lost report needs no retry here: other gateways detect the failure
  // themselves, and the next failed probe reports it again.
  m_control.Propose(
    std::move(command),
    BootClock::now() + kReportTimeout,
    [id = aRunner.m_id](const auto& aResult, const ControlReason& aReason) {
      if (!aResult) {
        Log(
          LogLevel::Warning,
          "the report of a failed endpoint was not taken by the control group",
          { { "endpoint", id }, { "why", aReason.m_text } });
      }
    });
}

void
RoutingState::RememberLeaving(const Runner& aRunner)
{
  m_leaving.Add(aRunner);
  InvalidatePaths();
}

bool
RoutingState::IsInLocalZone(const Runner& aRunner) const
{
  return aRunner.m_zone == m_options.m_zone;
}

void
RoutingState::InvalidatePaths()
{
  for (auto& [name, serviceState] : m_serviceStates) {
    serviceState->m_paths.Invalidate();
  }
}

} // namespace parsleycove
