// Role control: a replica with the calls of operators and endpoints.
#include "Daemon/ControlProcess.h"

#include <random>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/GroupMembershipClient.h"
#include "Control/ReplicaService.h"
#include "Daemon/ProcessFrame.h"
#include "Daemon/ReplicaLog.h"
#include "Placement/PlacementController.h"
#include "Store/DiskFiles.h"

namespace parsleycove {

namespace {

// Calls in progress at a stop have this long.
constexpr std::chrono::milliseconds kStopPauseMs{ 300 };

std::uint64_t
DrawIdentity()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

// Starts the replica under the identity of its folder. A folder that is
// damaged is emptied, and the replica comes back as a new one, as after the
// loss of its disk.
std::unique_ptr<ReplicaService>
StartReplica(ProcessFrame& aFrame,
             ReplicaServiceOptions& aOptions,
             ReplicaStart aStart)
{
  DiskFiles files;
  for (int attempt = 0; attempt < 2; ++attempt) {
    aStart.m_random = DrawIdentity();
    StoreReason storeReason;
    ControlServiceReason reason;
    if (const auto identity = ChooseIdentity(files, aStart, storeReason)) {
      aOptions.m_replica = identity->m_replica;
      aOptions.m_bootstrap = identity->m_bootstrap;
      aOptions.m_seed = aStart.m_random;
      if (auto replica = ReplicaService::Start(aOptions, reason)) {
        return replica;
      }
      if (reason.m_code != ControlServiceError::Store) {
        Log(LogLevel::Error, "cannot start", { { "why", reason.m_text } });
        return nullptr;
      }
    }
    Log(LogLevel::Error,
        "the data folder is given up",
        { { "why", reason.m_text + storeReason.m_text } });
    aFrame.Decisions().Write(
      DecisionEvent::DependencyLost, [&](DecisionLine& aLine) {
        aLine.Add("dependency", "data folder")
          .Add("why", reason.m_text + storeReason.m_text);
      });
    if (!DiscardFolder(files, aStart.m_folder, storeReason)) {
      Log(
        LogLevel::Error, "cannot empty it", { { "why", storeReason.m_text } });
      return nullptr;
    }
    aStart.m_isFirstStart = false;
  }
  return nullptr;
}

feed::AddReplicaT
DescribeSelf(const ReplicaServiceOptions& aOptions)
{
  feed::AddReplicaT self;
  self.replica = aOptions.m_replica;
  self.vm = aOptions.m_vm;
  self.zone = aOptions.m_zone;
  self.address = aOptions.m_listen.m_address;
  self.port = aOptions.m_listen.m_port;
  return self;
}

void
AddGroupMetrics(MetricRegistry& aMetrics,
                const ReplicaService& aReplica,
                std::size_t aTargetVoters)
{
  aMetrics.AddGauge("parsleycove_leads_term", "", [&aReplica] {
    return static_cast<double>(aReplica.LedTerm());
  });
  aMetrics.AddGauge("parsleycove_voters", "", [&aReplica] {
    return static_cast<double>(aReplica.Gauges().m_voters.load());
  });
  aMetrics.AddGauge("parsleycove_voters_target", "", [aTargetVoters] {
    return static_cast<double>(aTargetVoters);
  });
  aMetrics.AddGauge("parsleycove_members_without_vote", "", [&aReplica] {
    return static_cast<double>(aReplica.Gauges().m_withoutVote.load());
  });
  aMetrics.AddGauge("parsleycove_oldest_without_vote_seconds", "", [&aReplica] {
    const TimePoint since = aReplica.Gauges().m_oldestWithoutVoteSince.load();
    const Duration age =
      since == TimePoint::max() ? Duration::zero() : BootClock::now() - since;
    return std::chrono::duration<double>(age).count();
  });
}

} // namespace

DaemonExit
RunControlProcess(const DaemonSettings& aSettings,
                  const SettingReader& aReader,
                  Deployment& aDeployment)
{
  ProcessFrame frame(aSettings, aReader);
  asio::io_context& context = frame.Context();
  bool hasFailed = false;
  ReplicaServiceOptions options = *aSettings.m_replica;
  options.m_onFatal = [&](const std::string& aWhy) {
    Log(LogLevel::Error, "replica has stopped", { { "why", aWhy } });
    asio::post(context, [&] {
      hasFailed = true;
      frame.End();
    });
  };
  options.m_log = WriteReplicaLog;
  const auto replica = StartReplica(frame, options, aSettings.m_start);
  if (!replica) {
    return DaemonExit::CannotStart;
  }
  ControlClient control(aSettings.m_client);
  GroupMembershipClient member(
    context, control, DescribeSelf(options), WriteReplicaLog);
  const auto orders = aDeployment.MakeOrders(context);
  PlacementController placementController(context,
                                          control,
                                          aDeployment.ConfigCodec(),
                                          *orders,
                                          frame.Decisions(),
                                          [&] { return replica->LedTerm(); });
  UnreadRequests unread(frame.Metrics());
  HttpServiceLimits limits;
  limits.m_receiveBudgetBytes = aSettings.m_receiveBudgetBytes;
  HttpService calls(
    context,
    aDeployment.MakeControlHandler(context, control, frame.Decisions()),
    limits,
    &unread);
  asio::steady_timer stopTimer(context);
  const auto stop = [&] {
    calls.Close();
    stopTimer.expires_after(kStopPauseMs);
    stopTimer.async_wait([&](boost::system::error_code) { frame.End(); });
  };
  std::string reason;
  if (!calls.Open(aSettings.m_gateway.m_listen, reason) ||
      !frame.Start(control, stop, reason)) {
    Log(LogLevel::Error, "cannot start", { { "why", reason } });
    return DaemonExit::CannotStart;
  }
  AddGroupMetrics(frame.Metrics(), *replica, options.m_targetVoters);
  member.Start();
  placementController.Start();
  frame.Run();
  replica->Stop();
  return hasFailed ? DaemonExit::StoreFailed : DaemonExit::Stopped;
}

} // namespace parsleycove
