// The part of ReplicaNode that handles proposals, membership changes, status
// and the periodic maintenance by the leader.
#include "Control/ReplicaNode.h"

#include <utility>

#include "Consensus/MembershipRules.h"
#include "Control/ReplicaNodeOptions.h"
#include "State/CommandTime.h"
#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kMaintenanceIntervalMs{ 250 };

feed::AdminReplyT
MakeAdminReply(bool aOk, std::string aText)
{
  feed::AdminReplyT reply;
  reply.ok = aOk;
  reply.text = std::move(aText);
  return reply;
}

std::string_view
RoleName(const Replica& aLog, const consensus::MemberT& aMember)
{
  if (aMember.replica == aLog.Leader()) {
    return "leader";
  }
  return aMember.voter ? "follower" : "learner";
}

} // namespace

bool
ReplicaNode::ProposeCommand(const state::CommandT& aCommand,
                            PendingProposals::Handler aHandler)
{
  if (aCommand.body.type == state::CommandBody::PutDocument &&
      !CanAcceptDocuments()) {
    return false;
  }
  // Commands carry the time of the leader's clock, not of the proposer's clock.
  state::CommandT stamped = aCommand;
  StampCommand(stamped, SystemClock().UnixMs());
  if (auto known = AnswerWithoutEntry(stamped)) {
    aHandler(std::move(*known));
    return true;
  }
  const bool taken =
    m_core->Propose(BootClock::now(), stamped, std::move(aHandler));
  RequestProcessing();
  return taken;
}

std::optional<state::CommandResultT>
ReplicaNode::AnswerWithoutEntry(const state::CommandT& aCommand)
{
  if (!IsLeader()) {
    return std::nullopt;
  }
  const TimePoint now = BootClock::now();
  const state::ConfigImageT& image = State().Config();
  if (IsPromptPartCommand(aCommand)) {
    return m_promptCommands.AnswerWithoutEntry(now, image, aCommand);
  }
  const auto* report = aCommand.body.AsSuspectEndpoint();
  if (report == nullptr || m_failureReports.AcceptReport(now, image, *report)) {
    return std::nullopt;
  }
  state::CommandResultT known;
  known.code = state::ResultCode::Duplicate;
  return known;
}

bool
ReplicaNode::CanAcceptDocuments() const
{
  return CountVoters(m_core->Log().Members()) >= m_options.m_minDocumentVoters;
}

void
ReplicaNode::ConfirmState(ReadHandler aHandler)
{
  m_core->Read(BootClock::now(),
               MakeFeedReport(),
               [handler = std::move(aHandler)](const ReadState& aRead) {
                 handler(aRead.m_ok);
               });
  RequestProcessing();
}

void
ReplicaNode::AddMember(const feed::AddReplicaT& aRequest, AdminHandler aHandler)
{
  consensus::MembershipT next(m_core->Log().Members());
  if (FindMember(next, aRequest.replica) != nullptr) {
    aHandler(MakeAdminReply(true, "replica is already a member"));
    return;
  }
  auto member = std::make_unique<consensus::MemberT>();
  member->replica = aRequest.replica;
  member->vm = aRequest.vm;
  member->zone = aRequest.zone;
  member->address = aRequest.address;
  member->port = aRequest.port;
  member->voter = false;
  next.members.push_back(std::move(member));
  ChangeMembers(std::move(next),
                "added as a learner; becomes a voter once it has caught up",
                aHandler);
}

void
ReplicaNode::RemoveMember(std::uint64_t aReplica, AdminHandler aHandler)
{
  consensus::MembershipT next(m_core->Log().Members());
  if (FindMember(next, aReplica) == nullptr) {
    aHandler(MakeAdminReply(true, "replica is not a member"));
    return;
  }
  std::erase_if(next.members, [&](const auto& aMember) {
    return aMember->replica == aReplica;
  });
  ChangeMembers(std::move(next), "removed", aHandler);
}

void
ReplicaNode::ChangeMembers(consensus::MembershipT aNext,
                           std::string aDone,
                           const AdminHandler& aHandler)
{
  if (m_core->Log().Role() != ReplicaRole::Leader) {
    feed::AdminReplyT reply =
      MakeAdminReply(false, "this replica is not the leader");
    reply.not_leader = true;
    aHandler(std::move(reply));
    return;
  }
  const bool taken = m_core->ProposeMembership(
    BootClock::now(),
    std::move(aNext),
    [aHandler, done = std::move(aDone)](
      const std::optional<state::CommandResultT>& aResult) {
      aHandler(
        aResult
          ? MakeAdminReply(true, done)
          : MakeAdminReply(
              false, "leadership was lost, outcome unknown; check the status"));
    });
  if (!taken) {
    aHandler(MakeAdminReply(false, m_core->Log().LastReason().m_text));
  }
  RequestProcessing();
}

std::optional<SocketAddress>
ReplicaNode::LeaderAddress() const
{
  const Replica& log = m_core->Log();
  const auto* member = FindMember(log.Members(), log.Leader());
  if (member == nullptr) {
    return std::nullopt;
  }
  return SocketAddress{ member->address, member->port };
}

feed::WelcomeT
ReplicaNode::DescribeGroup() const
{
  feed::WelcomeT welcome;
  welcome.replica = m_options.m_replica;
  if (const auto leader = LeaderAddress()) {
    welcome.leader_address = leader->m_address;
    welcome.leader_port = leader->m_port;
  }
  for (const auto& member : m_core->Log().Members().members) {
    auto address = std::make_unique<feed::ReplicaAddressT>();
    address->replica = member->replica;
    address->zone = member->zone;
    address->address = member->address;
    address->port = member->port;
    welcome.peers.push_back(std::move(address));
  }
  return welcome;
}

feed::StatusReplyT
ReplicaNode::DescribeStatus() const
{
  const Replica& log = m_core->Log();
  feed::StatusReplyT reply;
  reply.leader = log.Leader();
  reply.term = log.Term();
  reply.commit = log.CommitIndex();
  reply.in_force_index = m_inForceIndex;
  for (const auto& member : log.Members().members) {
    auto row = std::make_unique<feed::ReplicaStatusT>();
    const bool self = member->replica == m_options.m_replica;
    row->replica = member->replica;
    row->vm = member->vm;
    row->zone = member->zone;
    row->address = SocketAddress{ member->address, member->port }.ToString();
    row->role = RoleName(log, *member);
    row->voter = member->voter;
    row->reachable = self || m_peers.IsOpen(member->replica);
    row->match_index = self ? log.LastIndex() : log.MatchIndex(member->replica);
    reply.replicas.push_back(std::move(row));
  }
  return reply;
}

void
ReplicaNode::ScheduleMaintenance()
{
  m_maintenanceTimer.expires_after(kMaintenanceIntervalMs);
  m_maintenanceTimer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (!aError && !m_closed) {
        PerformMaintenance();
        ScheduleMaintenance();
      }
    });
}

void
ReplicaNode::PerformMaintenance()
{
  const TimePoint now = BootClock::now();
  const Replica& log = m_core->Log();
  m_leads = log.Role() == ReplicaRole::Leader && log.HasLeaderLease(now);
  if (!m_maintenance || !m_leads) {
    return;
  }
  m_inForceIndex = std::max(
    m_inForceIndex, m_maintenance->InForceIndex(now, log.CommitIndex()));
  for (const state::CommandT& command :
       m_maintenance->FindExpired(now, SystemClock().UnixMs(), State())) {
    ProposeCommand(command, [](const auto&) {});
  }
  RepairMembership(now);
}

void
ReplicaNode::RepairMembership(TimePoint aNow)
{
  const Replica& log = m_core->Log();
  const consensus::MembershipT& members = log.Members();
  if (m_repair.NeedsVoter(aNow, members, m_options.m_replica)) {
    if (auto promoted = m_maintenance->FindPromotion(log)) {
      ChangeMembers(std::move(*promoted), "promoted", [](const auto&) {});
      return;
    }
  }
  const std::uint64_t failed =
    m_repair.FindMemberToRemove(aNow, members, m_options.m_replica);
  if (failed == 0) {
    return;
  }
  Log(ControlLogLevel::Warning,
      "removing replica " + std::to_string(failed) + ", silent for " +
        std::to_string(m_repair.MsSinceMessage(aNow, failed)) + " ms");
  RemoveMember(failed, [this](const feed::AdminReplyT& aReply) {
    if (!aReply.ok) {
      Log(ControlLogLevel::Info, "replica not removed: " + aReply.text);
    }
  });
}

} // namespace parsleycove
