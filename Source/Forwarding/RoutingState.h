// Holds the state a gateway routes by: configuration, endpoints and paths.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Admission/PathQueue.h"
#include "Admission/UrgencyScale.h"
#include "Base/Clock.h"
#include "Forwarding/ForwardOptions.h"
#include "Routing/EndpointLimits.h"
#include "Routing/LeavingEndpoints.h"
#include "Routing/PathSelector.h"
#include "Routing/ReturnSchedule.h"
#include "Routing/RoutingConfig.h"
#include "Routing/RunnerTable.h"
#include "Routing/ServicePicker.h"
#include "Routing/WindowedBudget.h"
#include "State/ControlPort.h"
#include "Wire/Http.h"

namespace parsleycove {

class DecisionLog;
class ForwardMetrics;

// Routing state of one service.
struct ServiceRoutingState
{
  explicit ServiceRoutingState(const ForwardOptions& aOptions)
    : m_paths(aOptions.m_zone, { .m_promptSpread = aOptions.m_promptSpread })
    , m_retries(aOptions.m_retries, BootClock::now())
    , m_queue(aOptions.m_pathQueue)
  {
  }

  PathSelector m_paths;
  WindowedBudget m_retries;
  ReturnSchedule m_returns;
  // The levels of urgency by the configuration in force.
  UrgencyScale m_urgency;
  // New requests that wait for a path, where there are several levels.
  PathQueue m_queue;
  // Moving average of the latency of successful plain calls.
  Duration m_averageLatency = std::chrono::milliseconds(20);
};

enum class FailureEvidence
{
  // The engine refuses or breaks connections, has restarted, or answered a
  // probe with an error.
  Certain,
  // The engine did not answer in time.
  Timeout,
};

// Applies the replicated state. Used by one thread only.
//
// Invariant: the version of the configuration never decreases.
class RoutingState
{
public:
  RoutingState(const ForwardOptions& aOptions,
               ControlPort& aControl,
               const RoutingConfigCodec& aCodec,
               DecisionLog& aLog);

  // Applies the view received from the control group since the last call.
  void Refresh(TimePoint aNow);

  // Returns nullptr until a configuration has been received.
  const RoutingConfig* Config() const { return m_config.get(); }
  boost::intrusive_ptr<const RoutingConfig> SharedConfig() const
  {
    return m_config;
  }
  const RunnerTable* Runners() const { return m_runners.get(); }
  bool HasLease(TimePoint aNow) const { return m_control.HasLease(aNow); }
  // Waits until the view includes every change accepted before the call.
  // Returns false and sets aReason if no quorum confirmed the view by
  // aDeadline.
  asio::awaitable<bool> Confirm(asio::io_context& aContext,
                                TimePoint aDeadline,
                                std::string& aReason);
  // When the last lease ended; the start of the process before the first lease.
  TimePoint LeaseLostAt() const { return m_leaseLostAt; }
  std::uint32_t GatewayCount() const;

  ServiceRoutingState& ServiceState(const std::string& aService);
  // Returns the level of urgency of the service's requests by this route and
  // account, or std::nullopt if all of them are equally urgent. aAccount:
  // nullptr if there is none.
  std::optional<std::size_t> LevelOf(const std::string& aService,
                                     const RouteRule& aRoute,
                                     const AccountRule* aAccount);
  // Publishes how many requests wait at each level of urgency, over all
  // services, and the largest part of the room that a service reserves.
  void PublishQueues(TimePoint aNow, ForwardMetrics& aMetrics);
  RunnerPtr PickEndpoint(TimePoint aNow, const PickRequest& aRequest);
  // Draws one of the route's services, in proportion to their weights.
  const std::string& ChooseService(const RouteRule& aRoute);
  // Returns a random number in [0, 1).
  double DrawFraction() { return m_random.Fraction(); }
  // Reports a failed endpoint to the control group. A time-out of an endpoint
  // in another availability zone counts only once a second gateway reports it,
  // too.
  void ReportFailure(const Runner& aRunner, FailureEvidence aEvidence);
  // Returns true if the runner is in this VM's availability zone.
  bool IsInLocalZone(const Runner& aRunner) const;
  // Keeps an endpoint that has said that it leaves out of use, also if the feed
  // drops it and lists it again.
  void RememberLeaving(const Runner& aRunner);
  EndpointLimits& Limits() { return m_limits; }
  // After PickEndpoint found none.
  const PickReason& EndpointPickReason() const { return m_picker.LastReason(); }
  // After PickEndpoint found none: see ServicePicker::AvailableAt.
  TimePoint EndpointAvailableAt() const { return m_picker.AvailableAt(); }
  // Must be called when the circuit of an engine has changed.
  void InvalidatePaths();

private:
  void ApplyDocument(const ClusterView& aView);
  void ApplyEndpoints(const ClusterView& aView);
  void UpdateLease(TimePoint aNow);

  const ForwardOptions& m_options;
  ControlPort& m_control;
  const RoutingConfigCodec& m_codec;
  DecisionLog& m_log;
  boost::intrusive_ptr<const ClusterView> m_view;
  boost::intrusive_ptr<const RoutingConfig> m_config;
  boost::intrusive_ptr<const RunnerTable> m_runners;
  std::map<std::string, std::unique_ptr<ServiceRoutingState>, std::less<>>
    m_serviceStates;
  ServicePicker m_picker;
  LeavingEndpoints m_leaving;
  EndpointLimits m_limits;
  Random m_random;
  std::uint64_t m_documentVersion = 0;
  bool m_hadLease = false;
  TimePoint m_leaseLostAt = BootClock::now();
};

} // namespace parsleycove
