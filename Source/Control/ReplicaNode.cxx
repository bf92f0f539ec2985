// Connects a ReplicaCore with timers, peer links and gateway feeds on one Asio
// thread.
#include "Control/ReplicaNode.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "Control/LeaseKey.h"
#include "Control/ReplicaNodeOptions.h"
#include "Wire/MessageCodec.h"

namespace parsleycove {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Interval of report rounds while a configuration change is not yet in force.
constexpr std::chrono::milliseconds kBusyRoundMs{ 100 };
constexpr std::chrono::milliseconds kMinTickMs{ 1 };
// Interval of the log lines for a group below its target or without a leader.
constexpr std::chrono::seconds kShortageLineS{ 5 };

asio::steady_timer::duration
ToTimer(Duration aDuration)
{
  return std::chrono::duration_cast<asio::steady_timer::duration>(
    std::max(aDuration, Duration::zero()));
}

} // namespace

ReplicaNode::ReplicaNode(asio::io_context& aContext,
                         const ReplicaServiceOptions& aOptions)
  : m_context(aContext)
  , m_options(aOptions)
  , m_feeds(MakeFeedServerOptions(aOptions), *this)
  , m_inbound({ [this](const auto& aLink, const auto& aMessage) {
                 m_peerInbound[aMessage.from] = aLink;
                 OnPeerMessage(aMessage);
               },
                [this](const auto& aLink, const auto& aMessage) {
                  m_feeds.OnMessage(BootClock::now(), aLink, aMessage);
                },
                [this](const FrameLink& aLink) {
                  m_feeds.OnClosed(aLink);
                  std::erase_if(m_peerInbound, [&](const auto& aEntry) {
                    return aEntry.second.get() == &aLink;
                  });
                },
                [this](const std::string& aText) {
                  Log(ControlLogLevel::Warning, aText);
                } })
  , m_acceptor(
      aContext,
      MakeInboundLinkOptions(aOptions),
      [this](FrameLink::Pointer aLink) { m_inbound.Add(std::move(aLink)); })
  , m_peers(
      aContext,
      MakePeerLinksOptions(aOptions),
      [this](FrameLink& /*aLink*/, const ReceivedFrame& aFrame) {
        if (const auto message = DecodePeerMessage(aFrame.m_payload)) {
          OnPeerMessage(*message);
        }
      },
      [this](const std::string& aText) { Log(ControlLogLevel::Info, aText); })
  , m_peerQueueLimit(aOptions.m_maxPeerBulkBytes)
  , m_tickTimer(aContext)
  , m_roundTimer(aContext)
  , m_maintenanceTimer(aContext)
  , m_gatewayCount(aOptions.m_configLease, aOptions.m_gatewayLease)
  , m_repair({ aOptions.m_targetVoters, aOptions.m_memberTimeout })
  , m_report(aOptions.m_targetVoters)
  , m_level(aOptions.m_replica,
            aOptions.m_featureLevel,
            aOptions.m_targetVoters)
  , m_shortageLine(kShortageLineS)
  , m_leaderlessLine(kShortageLineS)
{
}

ReplicaNode::~ReplicaNode() = default;

bool
ReplicaNode::Open(ControlServiceReason& aReason)
{
  std::optional<consensus::MembershipT> bootstrap;
  if (!m_options.m_bootstrap.empty()) {
    bootstrap = MakeBootstrapMembership(m_options);
  }
  m_core = ReplicaCore::Open(m_files,
                             m_options.m_dataFolder,
                             MakeReplicaCoreOptions(m_options),
                             bootstrap,
                             BootClock::now(),
                             *this,
                             aReason);
  if (!m_core) {
    return false;
  }
  m_report.Start(BootClock::now(), m_core->Log().Members());
  m_feeds.OnStateReplaced();
  WireReason wireReason;
  if (!m_acceptor.Listen(m_options.m_listen, wireReason)) {
    aReason.Set(ControlServiceError::CannotListen, wireReason.m_text);
    return false;
  }
  RequestProcessing();
  ScheduleRound(Duration::zero());
  ScheduleMaintenance();
  return true;
}

void
ReplicaNode::Close()
{
  m_closed = true;
  m_leads = false;
  m_tickTimer.cancel();
  m_roundTimer.cancel();
  m_maintenanceTimer.cancel();
  m_acceptor.Close();
  m_inbound.Close();
  m_peers.Close();
}

void
ReplicaNode::RequestProcessing()
{
  if (!std::exchange(m_processingRequested, true)) {
    asio::post(m_context, [this] { ProcessReady(); });
  }
}

void
ReplicaNode::ProcessReady()
{
  m_processingRequested = false;
  if (m_closed || !m_core->ProcessReady(BootClock::now())) {
    return;
  }
  m_publishedApplied = m_core->AppliedIndex();
  UpdateRole();
  ReportMembers();
  UpdatePeers();
  ContinueRepair();
  ScheduleTick();
}

void
ReplicaNode::UpdateRole()
{
  const Replica& log = m_core->Log();
  const bool leads = log.Role() == ReplicaRole::Leader;
  const std::uint64_t term = leads ? log.Term() : 0;
  if (term != m_ledTerm) {
    m_ledTerm = term;
    m_publishedTerm = term;
    m_core->FailProposals();
    m_maintenance.reset();
    if (leads) {
      m_repair.Start(BootClock::now());
      m_lastRefusal.clear();
      Log(ControlLogLevel::Info,
          "became leader in term " + std::to_string(term));
      m_maintenance.emplace(MakeLeaderMaintenanceOptions(m_options),
                            BootClock::now(),
                            State().Config());
      m_gatewayCount.StartTerm(BootClock::now());
    }
  }
  m_leads = leads && log.HasLeaderLease(BootClock::now());
}

void
ReplicaNode::UpdatePeers()
{
  const Replica& log = m_core->Log();
  std::vector<PeerAddress> peers =
    ListPeerAddresses(log.Members(), m_options.m_replica);
  const bool changed = peers != m_peerAddresses;
  if (changed) {
    m_peerAddresses = std::move(peers);
    m_peers.SetPeers(m_peerAddresses);
  }
  const bool hasNewLevel = UpdateLevel();
  if (changed || hasNewLevel || log.Leader() != m_knownLeader) {
    m_knownLeader = log.Leader();
    m_feeds.OnGroupChanged();
  }
}

void
ReplicaNode::ScheduleTick()
{
  const Duration wait = m_core->Log().NextDeadline() - BootClock::now();
  m_tickTimer.expires_after(ToTimer(std::max<Duration>(wait, kMinTickMs)));
  m_tickTimer.async_wait([this](const error_code& aError) {
    if (!aError && !m_closed) {
      m_core->Tick(BootClock::now());
      ProcessReady();
    }
  });
}

void
ReplicaNode::OnConfigChanged(std::uint64_t aIndex,
                             const state::CommandT& aCommand)
{
  m_configIndex = aIndex;
  m_feeds.OnConfigChanged(aIndex, aCommand);
  if (m_maintenance) {
    m_maintenance->UpdateConfig(BootClock::now(), State().Config());
  }
  ScheduleRound(kBusyRoundMs);
}

void
ReplicaNode::OnStateReplaced()
{
  m_configIndex = State().Config().index;
  m_feeds.OnStateReplaced();
}

void
ReplicaNode::OnReport(const FollowerReport& aReport)
{
  RecordReport(BootClock::now(), aReport.m_replica, aReport.m_request);
}

void
ReplicaNode::RecordReport(TimePoint aNow,
                          std::uint64_t aReplica,
                          const consensus::ReadIndexT& aReport)
{
  if (!m_maintenance) {
    return;
  }
  const Replica& log = m_core->Log();
  m_maintenance->RecordReport(aNow, aReplica, aReport);
  m_inForceIndex = std::max(
    m_inForceIndex, m_maintenance->InForceIndex(aNow, log.CommitIndex()));
  m_gatewayCount.RecordReport(
    aNow, aReplica, aReport.report_feeds, log.HasLeaderLease(aNow));
}

std::uint32_t
ReplicaNode::CountGateways() const
{
  return m_gatewayCount.Get(BootClock::now());
}

void
ReplicaNode::OnFatal(const std::string& aText)
{
  Log(ControlLogLevel::Error, aText);
  Close();
  if (m_options.m_onFatal) {
    m_options.m_onFatal(aText);
  }
}

std::uint64_t
ReplicaNode::AppliedIndex() const
{
  return m_core->AppliedIndex();
}

void
ReplicaNode::Log(ControlLogLevel aLevel, const std::string& aText) const
{
  if (m_options.m_log) {
    m_options.m_log(
      aLevel, "replica " + std::to_string(m_options.m_replica) + ": " + aText);
  }
}

// Report rounds --------------------------------------------------------------

void
ReplicaNode::ScheduleRound(Duration aAfter)
{
  // A scheduled round is only brought forward, never postponed: otherwise a
  // series of changes could postpone it without end.
  const TimePoint at = BootClock::now() + aAfter;
  if (m_roundAt && *m_roundAt <= at) {
    return;
  }
  m_roundAt = at;
  m_roundTimer.expires_after(ToTimer(aAfter));
  m_roundTimer.async_wait([this](const error_code& aError) {
    if (!aError && !m_closed) {
      m_roundAt.reset();
      StartRound();
    }
  });
}

void
ReplicaNode::StartRound()
{
  const TimePoint now = BootClock::now();
  m_feeds.RemoveExpiredGateways(now);
  consensus::ReadIndexT report = MakeReport();
  RecordReport(now, m_options.m_replica, report);
  m_core->Read(now, std::move(report), [this](const ReadState& aRead) {
    if (aRead.m_ok) {
      m_feeds.ConfirmRead(BootClock::now(), aRead);
    }
  });
  RequestProcessing();
  const Duration pause = m_inForceIndex < m_configIndex
                           ? Duration(kBusyRoundMs)
                           : m_options.m_confirmInterval;
  ScheduleRound(std::min(pause, m_options.m_configLease / 3));
}

consensus::ReadIndexT
ReplicaNode::MakeFeedReport()
{
  const TimePoint now = BootClock::now();
  consensus::ReadIndexT report;
  report.report_min_index = m_feeds.ReportMinAppliedIndex(now);
  report.report_feeds = m_feeds.CountLive(now);
  return report;
}

consensus::ReadIndexT
ReplicaNode::MakeReport()
{
  const TimePoint now = BootClock::now();
  consensus::ReadIndexT report = MakeFeedReport();
  for (const auto& gateway : m_feeds.ListGateways()) {
    if (gateway.m_leaseEnd > now) {
      m_renewedKeys.insert(HashGateway(gateway.m_vm, gateway.m_epoch));
    }
  }
  report.renewed.assign(m_renewedKeys.begin(), m_renewedKeys.end());
  m_renewedKeys.clear();
  return report;
}

void
ReplicaNode::OnAcknowledged()
{
  if (m_inForceIndex < m_configIndex) {
    ScheduleRound(Duration::zero());
  }
}

void
ReplicaNode::RecordRenewals(
  const std::vector<std::unique_ptr<state::EndpointRefT>>& aRenewed)
{
  for (const auto& reference : aRenewed) {
    m_renewedKeys.insert(HashEndpoint(reference->id, reference->incarnation));
  }
}

} // namespace parsleycove
