// Role control: a replica with the calls of operators and endpoints.
#include "Daemon/ControlProcess.h"

#include <random>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/GroupMembershipClient.h"
#include "Control/LineRepeater.h"
#include "Control/ReplicaService.h"
#include "Control/ReplicaStarter.h"
#include "Daemon/ProcessFrame.h"
#include "Daemon/ReplicaLog.h"
#include "Forwarding/ConnectionLosses.h"
#include "Placement/PlacementController.h"
#include "Store/DiskFiles.h"

namespace parsleycove {

namespace {

// Calls in progress at a stop have this long.
constexpr std::chrono::milliseconds kStopPauseMs{ 300 };
// Interval of the log line while the data folder cannot be used.
constexpr std::chrono::seconds kStartLineS{ 5 };

std::uint64_t
DrawIdentity()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

void
ReportStart(ProcessFrame& aFrame, const ReplicaStarter& aStarter)
{
  if (aStarter.Aside().empty()) {
    Log(LogLevel::Error,
        "the data folder cannot be used; trying again",
        { { "why", aStarter.Why() } });
  } else {
    Log(LogLevel::Error,
        "the data folder is damaged; its files are set aside",
        { { "why", aStarter.Why() }, { "folder", aStarter.Aside() } });
  }
  aFrame.Decisions().Write(
    DecisionEvent::DependencyLost, [&](DecisionLine& aLine) {
      aLine.Add("dependency", "data folder").Add("why", aStarter.Why());
    });
}

// Starts the replica under the identity of its folder, and tries again while
// the disk refuses. Returns nullptr with aExit if that is impossible or a
// signal ended it.
std::unique_ptr<ReplicaService>
StartReplica(ProcessFrame& aFrame,
             ReplicaServiceOptions& aOptions,
             const ReplicaStart& aStart,
             DaemonExit& aExit)
{
  DiskFiles files;
  ReplicaStarter starter(files, aStart, DrawIdentity);
  LineRepeater lines(kStartLineS);
  std::unique_ptr<ReplicaService> replica;
  const auto open = [&](const ReplicaIdentity& aIdentity,
                        ControlServiceReason& aReason) {
    aOptions.m_replica = aIdentity.m_replica;
    aOptions.m_bootstrap = aIdentity.m_bootstrap;
    aOptions.m_seed = DrawIdentity();
    replica = ReplicaService::Start(aOptions, aReason);
    return replica != nullptr;
  };
  for (;;) {
    const auto result = starter.Try(SystemClock().UnixMs(), open);
    if (result == ReplicaStartResult::Started) {
      return replica;
    }
    if (result == ReplicaStartResult::Impossible) {
      Log(LogLevel::Error, "cannot start", { { "why", starter.Why() } });
      aExit = DaemonExit::CannotStart;
      return nullptr;
    }
    if (!starter.Aside().empty() ||
        lines.IsDue(BootClock::now(), starter.Why())) {
      ReportStart(aFrame, starter);
    }
    if (!aFrame.Pause(starter.Pause())) {
      aExit = DaemonExit::Stopped;
      return nullptr;
    }
  }
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

// Returns 0 for TimePoint::max().
double
SecondsSince(TimePoint aSince)
{
  const Duration age =
    aSince == TimePoint::max() ? Duration::zero() : BootClock::now() - aSince;
  return std::chrono::duration<double>(age).count();
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
    return SecondsSince(aReplica.Gauges().m_oldestWithoutVoteSince);
  });
  aMetrics.AddGauge("parsleycove_voters_heard", "", [&aReplica] {
    return static_cast<double>(aReplica.Gauges().m_votersHeard.load());
  });
  aMetrics.AddGauge("parsleycove_bearable_losses", "", [&aReplica] {
    return static_cast<double>(aReplica.Gauges().m_bearableLosses.load());
  });
  aMetrics.AddGauge("parsleycove_leaderless_seconds", "", [&aReplica] {
    return SecondsSince(aReplica.Gauges().m_leaderlessSince);
  });
  aMetrics.AddGauge("parsleycove_group_feature_level", "", [&aReplica] {
    return static_cast<double>(aReplica.Gauges().m_featureLevel.load());
  });
  aMetrics.AddGauge("parsleycove_replica_halted", "", [&aReplica] {
    return aReplica.Gauges().m_isHalted.load() ? 1.0 : 0.0;
  });
}

void
AddByteMetrics(MetricRegistry& aMetrics, const ReplicaService& aReplica)
{
  const auto add = [&](const char* aName, const auto& aValue) {
    aMetrics.AddGauge(
      aName, "", [&aValue] { return static_cast<double>(aValue.load()); });
  };
  const ByteGauges& bytes = aReplica.Bytes();
  add("parsleycove_log_bytes", bytes.m_log);
  add("parsleycove_uncommitted_bytes", bytes.m_uncommitted);
  add("parsleycove_peer_queue_bytes", bytes.m_queued);
  add("parsleycove_change_history_bytes", bytes.m_history);
  add("parsleycove_stored_bytes", bytes.m_stored);
  add("parsleycove_commands_refused_full", bytes.m_refused);
  add("parsleycove_peer_messages_held_back", bytes.m_heldBack);
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
  auto startExit = DaemonExit::CannotStart;
  const auto replica =
    StartReplica(frame, options, aSettings.m_start, startExit);
  if (!replica) {
    return startExit;
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
  ConnectionLosses losses(frame.Metrics(), "control");
  HttpServiceLimits limits;
  limits.m_receiveBudgetBytes = aSettings.m_receiveBudgetBytes;
  HttpService calls(
    context,
    aDeployment.MakeControlHandler(context, control, frame.Decisions()),
    limits,
    &unread,
    [&losses](PlaceLoss aLoss, TimePoint aNow) { losses.Count(aLoss, aNow); });
  asio::steady_timer stopTimer(context);
  const OperationDropper dropper(frame, [&] {
    replica->Stop();
    control.Stop();
  });
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
  AddByteMetrics(frame.Metrics(), *replica);
  member.Start();
  placementController.Start();
  frame.Run();
  return hasFailed ? DaemonExit::StoreFailed : DaemonExit::Stopped;
}

} // namespace parsleycove
