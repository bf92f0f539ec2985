// Watches this VM's links to the endpoints of each service, and knows the VMs
// that take requests over where the links are lost.
//
// What this VM sees of an endpoint is no evidence against the endpoint while
// the VM may have lost its own links: reports to the control group wait for a
// witness, another endpoint that was reached after the failure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Forwarding/EndpointClient.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/RefusalCause.h"
#include "Forwarding/RoutingState.h"
#include "Reach/HelperPicker.h"
#include "Reach/ServiceReach.h"

namespace parsleycove {

class DecisionLog;
class ForwardMetrics;
class PromptPartReporter;

// Used by one thread only.
class ReachMonitor
{
public:
  ReachMonitor(asio::io_context& aContext,
               const ForwardOptions& aOptions,
               const ForwardDialect& aDialect,
               RoutingState& aRouting,
               ControlPort& aControl,
               PromptPartReporter& aPromptParts,
               DecisionLog& aLog,
               ForwardMetrics& aMetrics);

  // Evaluates new evidence, tries connections and sends what is due. Called at
  // every check of calls and by the periodic maintenance; costs next to nothing
  // while all endpoints are reached.
  void Check(TimePoint aNow);
  // Lists this VM as one that takes requests over at aAddress.
  void Announce(const SocketAddress& aAddress);
  // Takes this VM from the list.
  void AnnounceStopping();

  // The endpoint answered, or took a connection.
  static void RecordReached(TimePoint aNow, const Runner& aEndpoint);
  // An attempt that began at aSince did not reach the endpoint.
  void RecordUnreached(TimePoint aSince, const Runner& aEndpoint);
  // A call to the endpoint that was sent at aSentAt has no answer yet.
  void RecordWaiting(TimePoint aSentAt, const Runner& aEndpoint);
  // Reports the endpoint as failed, and on certain evidence as lost with the
  // requests that it had not begun to answer, once a witness shows that this
  // VM's links work. Drops the report if there is none in time; the requests
  // are still reported if the endpoint is listed as started again.
  void ReportFailure(TimePoint aSince,
                     const RunnerPtr& aEndpoint,
                     FailureEvidence aEvidence);

  // Returns true if this VM reaches no endpoint of the service.
  bool IsUnreached(const std::string& aService) const;
  // Returns true if attempts to reach endpoints of the service have failed
  // since the last contact with any of them.
  bool HasLostLinks(const std::string& aService) const;
  // Returns the VM to pass a request on to, or nullptr if none is known that
  // reaches the service.
  RunnerPtr PickHelper(TimePoint aNow,
                       const std::string& aService,
                       const std::vector<std::string>& aExcluded);

  // A VM refused a request of the service that was passed on to it because of a
  // fault of its own.
  void RecordHelperRefusal(TimePoint aNow,
                           const Runner& aHelper,
                           const std::string& aService,
                           RefusalCause aCause);

private:
  // A report that waits for its witness.
  struct PendingReport
  {
    RunnerPtr m_endpoint;
    FailureEvidence m_evidence{};
    TimePoint m_since{};
    TimePoint m_recordedAt{};
  };

  // Applies the list of VMs if it has changed.
  void RefreshHelpers();
  ServiceReach& ReachOf(const std::string& aService);
  const std::vector<RunnerPtr>& EndpointsOf(const std::string& aService) const;
  void CheckService(TimePoint aNow,
                    const std::string& aService,
                    ServiceReach& aReach);
  void RecordLost(const std::string& aService, const ServiceReach& aReach);
  void RecordReturned(TimePoint aNow,
                      const std::string& aService,
                      const ServiceReach& aReach);
  // A VM that has lost its links has nothing to say about the endpoints.
  void DropReports(const std::string& aService);
  void FlushReports(TimePoint aNow);
  // Returns false if the report goes on waiting.
  bool TrySend(TimePoint aNow, const PendingReport& aReport);
  void FlushAnnouncement(TimePoint aNow);
  bool IsAnnounced(const state::ConfigImageT& aImage,
                   const state::EntryGatewayT& aGateway) const;
  void StartTrial(const std::string& aService, RunnerPtr aEndpoint);
  // Has the endpoint answer, since a link that hangs may still take
  // connections. A plain endpoint, whose answer costs a slot, only has to take
  // the connection unless this VM may not reach its service.
  asio::awaitable<void> TryConnection(std::string aService,
                                      RunnerPtr aEndpoint);
  asio::awaitable<bool> Connect(RunnerPtr aEndpoint);
  // Returns true if the endpoint answers, whatever the answer.
  asio::awaitable<bool> Ask(RunnerPtr aEndpoint,
                            std::string aPath,
                            Duration aTimeout);
  // Empty if the service has none.
  std::string HealthPathOf(const std::string& aService) const;

  asio::io_context& m_context;
  const ForwardOptions& m_options;
  const ForwardDialect& m_dialect;
  RoutingState& m_routing;
  ControlPort& m_control;
  PromptPartReporter& m_promptParts;
  DecisionLog& m_log;
  ForwardMetrics& m_metrics;
  EndpointClient m_client;
  HelperPicker m_helpers;
  boost::intrusive_ptr<const ClusterView> m_helpersView;
  // Services of which some endpoint was not reached or has not answered.
  std::map<std::string, ServiceReach, std::less<>> m_services;
  std::vector<PendingReport> m_reports;
  // What this VM tells of itself; without a name until Announce is called.
  state::EntryGatewayT m_own;
  TimePoint m_announcedAt{};
  bool m_isStopping = false;
};

} // namespace parsleycove
