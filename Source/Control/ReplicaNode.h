// Connects a ReplicaCore with timers, peer links and gateway feeds on one Asio
// thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Control/ByteGauges.h"
#include "Control/FailureReportFilter.h"
#include "Control/FeedServer.h"
#include "Control/GatewayCount.h"
#include "Control/GroupFeatureLevel.h"
#include "Control/GroupGauges.h"
#include "Control/InboundLinks.h"
#include "Control/LeaderMaintenance.h"
#include "Control/LineRepeater.h"
#include "Control/MembershipChange.h"
#include "Control/MembershipRepair.h"
#include "Control/MembershipReport.h"
#include "Control/PeerQueueLimit.h"
#include "Control/PromptCommandFilter.h"
#include "Control/ReplicaCore.h"
#include "Control/ReplicaServiceOptions.h"
#include "Store/DiskFiles.h"
#include "Wire/FrameAcceptor.h"
#include "Wire/PeerLinks.h"

namespace parsleycove {

// Passes received messages and the time to the core, and sends the core's
// output to peers and gateway feeds. Everything runs on the thread of the
// io_context except for the methods marked otherwise.
//
// An event that gives the core work posts one call of ProcessReady. All events
// handled before that call share its single sync.
class ReplicaNode final
  : public ReplicaCoreListener
  , public FeedBackend
{
public:
  ReplicaNode(boost::asio::io_context& aContext,
              const ReplicaServiceOptions& aOptions);
  ~ReplicaNode() override;
  ReplicaNode(const ReplicaNode&) = delete;
  ReplicaNode& operator=(const ReplicaNode&) = delete;

  bool Open(ControlServiceReason& aReason);
  void Close();

  // IsLeader, LedTerm, PublishedApplied, Gauges and Bytes may be called from
  // any thread.
  bool IsLeader() const { return m_leads.load(); }
  std::uint64_t LedTerm() const
  {
    return m_leads.load() ? m_publishedTerm.load() : 0;
  }
  std::uint64_t PublishedApplied() const { return m_publishedApplied.load(); }
  const GroupGauges& Gauges() const { return m_gauges; }

  const ByteGauges& Bytes() const { return m_byteGauges; }

  // ReplicaCoreListener
  void SendToPeer(consensus::PeerMessageT aMessage) override;
  void OnConfigChanged(std::uint64_t aIndex,
                       const state::CommandT& aCommand) override;
  void OnStateReplaced() override;
  void OnReport(const FollowerReport& aReport) override;
  void OnFatal(const std::string& aText) override;
  void OnUnreadable(const std::string& aText) override;

  // FeedBackend
  ProposalIntake ProposeCommand(const state::CommandT& aCommand,
                                PendingProposals::Handler aHandler,
                                std::string& aWhy) override;
  void ConfirmState(ReadHandler aHandler) override;
  void AddMember(const feed::AddReplicaT& aRequest,
                 AdminHandler aHandler) override;
  void RemoveMember(std::uint64_t aReplica, AdminHandler aHandler) override;
  const ReplicatedState& State() const override { return m_core->State(); }
  std::uint64_t AppliedIndex() const override;
  std::uint64_t InForceIndex() const override { return m_inForceIndex; }
  std::uint32_t CountGateways() const override;
  std::optional<SocketAddress> LeaderAddress() const override;
  feed::WelcomeT DescribeGroup() const override;
  feed::StatusReplyT DescribeStatus() const override;
  void RecordRenewals(
    const std::vector<std::unique_ptr<state::EndpointRefT>>& aRenewed) override;
  void OnAcknowledged() override;

private:
  void OnPeerMessage(const consensus::PeerMessageT& aMessage);
  void RequestProcessing();
  void ProcessReady();
  void UpdateRole();
  void UpdatePeers();
  void ScheduleTick();
  // Schedules the next report round, or brings the scheduled one forward. In a
  // round this replica reports its gateways to the leader and has its state
  // confirmed as current by a quorum.
  void ScheduleRound(Duration aAfter);
  void StartRound();
  // Returns a report without renewals: the number of gateways fed here and the
  // least index that they have applied.
  consensus::ReadIndexT MakeFeedReport();
  // Returns a full report. Moves the pending renewals into the report: they
  // count as passed on.
  consensus::ReadIndexT MakeReport();
  void ScheduleMaintenance();
  void PerformMaintenance();
  // Records the report of a replica at the leader, does nothing at a follower.
  void RecordReport(TimePoint aNow,
                    std::uint64_t aReplica,
                    const consensus::ReadIndexT& aReport);
  void RepairMembership(TimePoint aNow);
  // Makes the next change of a repair that is under way at once: until the
  // last one, the group tolerates fewer losses than its target allows.
  void ContinueRepair();
  // The leader's result of a command that needs no log entry, std::nullopt if
  // it is to be proposed.
  std::optional<state::CommandResultT> AnswerWithoutEntry(
    const state::CommandT& aCommand);
  // Logs the changes of the members and publishes the gauges.
  void ReportMembers();
  // Publishes how many bytes this replica keeps.
  void ReportBytes();
  void ReportShortage(TimePoint aNow);
  // Logs while no leader is known, and publishes since when.
  void ReportWithoutLeader(TimePoint aNow);
  // Returns the highest feature level that all members are known to read.
  std::uint32_t GroupLevel() const;
  // Returns whether all members are known to read the command.
  bool IsReadByGroup(const state::CommandT& aCommand) const;
  // Publishes the group's feature level, and returns whether it has changed.
  bool UpdateLevel();
  // Logs why this replica takes no part any more, and again every few seconds.
  void ReportHalt(const std::string& aText);
  // Returns whether enough voters hold the log to accept a routing document.
  bool CanAcceptDocuments() const;
  void ChangeMembers(MembershipChange aChange,
                     std::string aDone,
                     const AdminHandler& aHandler);
  void Log(ControlLogLevel aLevel, const std::string& aText) const;

  boost::asio::io_context& m_context;
  const ReplicaServiceOptions m_options;
  DiskFiles m_files;
  FeedServer m_feeds;
  InboundLinks m_inbound;
  FrameAcceptor m_acceptor;
  PeerLinks m_peers;
  PeerQueueLimit m_peerQueueLimit;
  std::unique_ptr<ReplicaCore> m_core;
  // Set only while this replica is the leader.
  std::optional<LeaderMaintenance> m_maintenance;
  FailureReportFilter m_failureReports;
  PromptCommandFilter m_promptCommands;
  boost::asio::steady_timer m_tickTimer;
  boost::asio::steady_timer m_roundTimer;
  std::optional<TimePoint> m_roundAt; // when the next report round starts
  boost::asio::steady_timer m_maintenanceTimer;

  std::uint64_t m_ledTerm = 0; // 0: not the leader
  std::uint64_t m_knownLeader = 0;
  std::vector<PeerAddress> m_peerAddresses;
  // The links that peers opened to this replica, for answers to replicas that
  // are not yet in this replica's membership.
  std::map<std::uint64_t, FrameLink::Pointer> m_peerInbound;
  // Hashes of the endpoints and gateways renewed since the last full report.
  std::unordered_set<std::uint64_t> m_renewedKeys;
  std::uint64_t m_inForceIndex = 0;
  GatewayCount m_gatewayCount;
  MembershipRepair m_repair;
  MembershipReport m_report;
  GroupFeatureLevel m_level;
  std::uint32_t m_knownLevel = 0; // as sent to the gateways
  LineRepeater m_shortageLine;
  LineRepeater m_leaderlessLine;
  std::string m_lastRefusal; // of a change of the members; empty if none
  GroupGauges m_gauges;
  ByteGauges m_byteGauges;
  std::uint64_t m_configIndex = 0; // index of the last configuration change
  bool m_processingRequested = false;
  bool m_closed = false;
  std::atomic<bool> m_leads{ false };
  std::atomic<std::uint64_t> m_publishedTerm{ 0 };
  std::atomic<std::uint64_t> m_publishedApplied{ 0 };
};

} // namespace parsleycove
