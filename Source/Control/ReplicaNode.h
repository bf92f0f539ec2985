// The surroundings of a replica's core on one Asio thread.
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

#include "Control/FailureReportFilter.h"
#include "Control/FeedServer.h"
#include "Control/InboundLinks.h"
#include "Control/LeaderMaintenance.h"
#include "Control/MembershipRepair.h"
#include "Control/ReplicaCore.h"
#include "Control/ReplicaServiceOptions.h"
#include "Store/DiskFiles.h"
#include "Wire/FrameAcceptor.h"
#include "Wire/PeerLinks.h"

namespace parsleycove {

// Moves messages and time into the core and what comes out to peers and feeds.
// Everything runs on the thread of the io_context.
//
// Every event that makes work posts one call of ProcessReady; all events that
// are ready before it share its one sync.
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

  // Any thread.
  bool IsLeader() const { return m_leads.load(); }
  std::uint64_t LedTerm() const
  {
    return m_leads.load() ? m_publishedTerm.load() : 0;
  }
  std::uint64_t PublishedApplied() const { return m_publishedApplied.load(); }

  // ReplicaCoreListener
  void SendToPeer(consensus::PeerMessageT aMessage) override;
  void OnConfigChanged(std::uint64_t aIndex,
                       const state::CommandT& aCommand) override;
  void OnStateReplaced() override;
  void OnReport(const FollowerReport& aReport) override;
  void OnFatal(const std::string& aText) override;

  // FeedBackend
  bool ProposeCommand(const state::CommandT& aCommand,
                      PendingProposals::Handler aHandler) override;
  void ConfirmState(ReadHandler aHandler) override;
  void AddMember(const feed::AddReplicaT& aRequest,
                 AdminHandler aHandler) override;
  void RemoveMember(std::uint64_t aReplica, AdminHandler aHandler) override;
  const ReplicatedState& State() const override { return m_core->State(); }
  std::uint64_t AppliedIndex() const override;
  std::uint64_t InForceIndex() const override { return m_inForceIndex; }
  std::uint32_t GatewayCount() const override { return m_gatewayCount; }
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
  void ScheduleRound(Duration aAfter);
  void StartRound();
  consensus::ReadIndexT MakeFeedReport();
  // Takes the renewals along; they count as passed on.
  consensus::ReadIndexT MakeReport();
  void ScheduleMaintenance();
  void PerformMaintenance();
  void RepairMembership(TimePoint aNow);
  bool CanAcceptDocuments() const;
  void ChangeMembers(consensus::MembershipT aNext,
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
  std::unique_ptr<ReplicaCore> m_core;
  // Only while this replica leads.
  std::optional<LeaderMaintenance> m_maintenance;
  FailureReportFilter m_failureReports;
  boost::asio::steady_timer m_tickTimer;
  boost::asio::steady_timer m_roundTimer;
  std::optional<TimePoint> m_roundAt; // when the next round starts
  boost::asio::steady_timer m_maintenanceTimer;

  std::uint64_t m_ledTerm = 0; // 0: does not lead
  std::uint64_t m_knownLeader = 0;
  std::vector<PeerAddress> m_peerAddresses;
  // Peers' own links, for answers to members not in the membership yet.
  std::map<std::uint64_t, FrameLink::Pointer> m_peerInbound;
  // Hashes heard since the last answered round.
  std::unordered_set<std::uint64_t> m_renewedKeys;
  std::uint64_t m_inForceIndex = 0;
  std::uint32_t m_gatewayCount = 0;
  MembershipRepair m_repair;
  std::uint64_t m_configIndex = 0; // of the last configuration change
  bool m_processingRequested = false;
  bool m_closed = false;
  std::atomic<bool> m_leads{ false };
  std::atomic<std::uint64_t> m_publishedTerm{ 0 };
  std::atomic<std::uint64_t> m_publishedApplied{ 0 };
};

} // namespace parsleycove
