// What a gateway routes by at this moment: configuration, endpoints, paths.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Base/Clock.h"
#include "Forwarding/ForwardOptions.h"
#include "Routing/PathSelector.h"
#include "Routing/RoutingConfig.h"
#include "Routing/RunnerTable.h"
#include "Routing/ServicePicker.h"
#include "Routing/WindowedBudget.h"
#include "State/ControlPort.h"
#include "Wire/Http.h"

namespace parsleycove {

class DecisionLog;

// What this gateway keeps for one service.
struct ServiceRoutingState
{
  ServiceRoutingState(const std::string& aZone,
                      const WindowedBudgetSettings& aRetries)
    : m_paths(aZone)
    , m_retries(aRetries, BootClock::now())
  {
  }

  PathSelector m_paths;
  WindowedBudget m_retries;
  // Moving average of good answers of plain calls.
  Duration m_averageLatency = std::chrono::milliseconds(20);
};

enum class FailureEvidence
{
  // It refuses connections, has started again, or another endpoint says so.
  Certain,
  // It did not answer in time.
  Silence,
};

// Follows the replicated state; used by one thread.
//
// Invariant: the version of the configuration never goes back.
class RoutingState
{
public:
  RoutingState(const ForwardOptions& aOptions,
               ControlPort& aControl,
               const RoutingConfigCodec& aCodec,
               DecisionLog& aLog);

  // Takes over what the control group has fed since the last call.
  void Refresh(TimePoint aNow);

  // Null until a configuration has been received.
  const RoutingConfig* Config() const { return m_config.get(); }
  boost::intrusive_ptr<const RoutingConfig> SharedConfig() const
  {
    return m_config;
  }
  const RunnerTable* Runners() const { return m_runners.get(); }
  bool HasLease(TimePoint aNow) const { return m_control.HasLease(aNow); }
  // Waits until the view holds all that was accepted before the call; false:
  // no quorum has confirmed that in time, aReason says why.
  asio::awaitable<bool> Confirm(asio::io_context& aContext,
                                TimePoint aDeadline,
                                std::string& aReason);
  // Since when there is no lease; the start of the process at first.
  TimePoint LeaseLostAt() const { return m_leaseLostAt; }
  std::uint32_t GatewayCount() const;

  ServiceRoutingState& ServiceState(const std::string& aService);
  RunnerPtr PickEndpoint(TimePoint aNow, const PickRequest& aRequest);
  // One of the route's services, by their weights.
  const std::string& ChooseService(const RouteRule& aRoute);
  // In [0, 1).
  double DrawFraction() { return m_random.Fraction(); }
  // Tells the control group that an endpoint was found dead. A missing answer
  // from another availability zone counts once another gateway agrees.
  void ReportFailure(const Runner& aRunner, FailureEvidence aEvidence);
  // In this VM's availability zone.
  bool IsInLocalZone(const Runner& aRunner) const;
  // The circuit of an engine has changed.
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
  Random m_random;
  std::uint64_t m_documentVersion = 0;
  bool m_hadLease = false;
  TimePoint m_leaseLostAt = BootClock::now();
};

} // namespace parsleycove
