// The part of ReplicaNode that handles proposals, membership changes, status
// and the periodic maintenance by the leader.
#include "Control/ReplicaNode.h"

#include <utility>

#include "Consensus/MembershipRules.h"
#include "Control/MembershipChange.h"
#include "Control/ReplicaNodeOptions.h"
#include "State/CommandTime.h"
#include "State/PromptPartTable.h"

namespace parsleycove {

namespace {

constexpr std::chrono::milliseconds kMaintenanceIntervalMs{ 250 };
// An election takes less, unless a majority is missing.
constexpr std::chrono::milliseconds kLeaderlessLineMs{ 1500 };
// Voters without a leader send messages at least this often.
constexpr std::chrono::milliseconds kHeardWithinMs{ 1500 };

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

ProposalIntake
ReplicaNode::ProposeCommand(const state::CommandT& aCommand,
                            PendingProposals::Handler aHandler,
                            std::string& aWhy)
{
  if (aCommand.body.type == state::CommandBody::PutDocument &&
      !CanAcceptDocuments()) {
    return ProposalIntake::NotLeader;
  }
  if (!IsReadByGroup(aCommand)) {
    return ProposalIntake::NotLeader;
  }
  // Commands carry the time of the leader's clock, not of the proposer's clock.
  state::CommandT stamped = aCommand;
  StampCommand(stamped, SystemClock().UnixMs());
  if (auto known = AnswerWithoutEntry(stamped)) {
    aHandler(std::move(*known));
    return ProposalIntake::Taken;
  }
  const ProposalIntake intake =
    m_core->Propose(BootClock::now(), stamped, std::move(aHandler));
  if (intake == ProposalIntake::Full) {
    aWhy = m_core->Log().LastReason().m_text;
    ++m_byteGauges.m_refused;
  }
  RequestProcessing();
  return intake;
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
  auto change = FindAddition(m_core->Log().Members(), aRequest);
  if (!change) {
    aHandler(MakeAdminReply(true, "replica is already a member"));
    return;
  }
  ChangeMembers(std::move(*change),
                "added as a learner; becomes a voter once it has caught up",
                aHandler);
}

void
ReplicaNode::RemoveMember(std::uint64_t aReplica, AdminHandler aHandler)
{
  auto change =
    FindRemoval(m_core->Log().Members(), aReplica, "asked to be removed");
  if (!change) {
    aHandler(MakeAdminReply(true, "replica is not a member"));
    return;
  }
  ChangeMembers(std::move(*change), "removed", aHandler);
}

void
ReplicaNode::ChangeMembers(MembershipChange aChange,
                           std::string aDone,
                           const AdminHandler& aHandler)
{
  if (m_core->Log().Role() != ReplicaRole::Leader) {
    feed::AdminReplyT reply =
      MakeAdminReply(false, "this replica is not the leader");
    reply.not_leader = true;
    if (const auto leader = LeaderAddress()) {
      reply.leader_address = leader->m_address;
      reply.leader_port = leader->m_port;
    }
    aHandler(std::move(reply));
    return;
  }
  const bool taken = m_core->ProposeMembership(
    BootClock::now(),
    std::move(aChange.m_next),
    [aHandler, done = std::move(aDone)](
      const std::optional<state::CommandResultT>& aResult) {
      aHandler(
        aResult
          ? MakeAdminReply(true, done)
          : MakeAdminReply(
              false, "leadership was lost, outcome unknown; check the status"));
    });
  if (taken) {
    m_report.SetEvidence(aChange.m_replica, std::move(aChange.m_evidence));
    m_lastRefusal.clear();
    RequestProcessing();
  } else {
    m_lastRefusal = "member " + std::to_string(aChange.m_replica) + " (" +
                    aChange.m_evidence +
                    "): " + m_core->Log().LastReason().m_text;
    aHandler(MakeAdminReply(false, m_core->Log().LastReason().m_text));
  }
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
  welcome.group_level = GroupLevel();
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
  ReportWithoutLeader(now);
  ReportBytes();
  if (!m_maintenance || !m_leads) {
    m_gauges.m_bearableLosses = 0;
    return;
  }
  m_inForceIndex = std::max(
    m_inForceIndex, m_maintenance->InForceIndex(now, log.CommitIndex()));
  for (const state::CommandT& command :
       m_maintenance->FindExpired(now, SystemClock().UnixMs(), State())) {
    // What is not taken is found again in the next round.
    std::string ignored;
    ProposeCommand(
      command, [](const auto&) {}, ignored);
  }
  RepairMembership(now);
  ReportShortage(now);
}

void
ReplicaNode::RepairMembership(TimePoint aNow)
{
  const Replica& log = m_core->Log();
  if (!log.CanChangeMembers()) {
    if (!m_repair.IsComplete(log.Members())) {
      m_lastRefusal = "an earlier change is not committed yet";
    }
    return;
  }
  auto change =
    FindRepair(aNow, log, m_repair, m_options.m_replica, m_lastRefusal);
  if (!change) {
    return;
  }
  ReportShortage(aNow);
  if (FindMember(change->m_next, change->m_replica) != nullptr) {
    ChangeMembers(std::move(*change), "promoted", [](const auto&) {});
    return;
  }
  Log(ControlLogLevel::Warning,
      "removing replica " + std::to_string(change->m_replica) + ", " +
        change->m_evidence);
  ChangeMembers(
    std::move(*change), "removed", [this](const feed::AdminReplyT& aReply) {
      if (!aReply.ok) {
        Log(ControlLogLevel::Info, "replica not removed: " + aReply.text);
      }
    });
}

void
ReplicaNode::ContinueRepair()
{
  const consensus::MembershipT& members = m_core->Log().Members();
  const TimePoint now = BootClock::now();
  m_repair.UpdateMembers(now, members);
  if (m_leads && !m_repair.IsComplete(members)) {
    RepairMembership(now);
  }
}

void
ReplicaNode::ReportMembers()
{
  for (const std::string& line :
       m_report.Update(BootClock::now(), m_core->Log().Members())) {
    Log(ControlLogLevel::Info, line);
  }
  m_gauges.m_voters = m_report.CountVoters();
  m_gauges.m_withoutVote = m_report.CountWithoutVote();
  m_gauges.m_oldestWithoutVoteSince = m_report.OldestWithoutVoteSince();
}

void
ReplicaNode::ReportShortage(TimePoint aNow)
{
  const auto silent =
    m_repair.ListLostVoters(aNow, m_core->Log().Members(), m_options.m_replica);
  m_gauges.m_bearableLosses = m_report.CountBearableLosses(silent.size());
  const std::string text =
    m_report.DescribeShortage(aNow, silent, m_lastRefusal);
  // The line's figures change all the time, so only its presence counts.
  if (m_shortageLine.IsDue(aNow, text.empty() ? "" : "below the target")) {
    Log(ControlLogLevel::Warning, text);
  }
}

void
ReplicaNode::ReportWithoutLeader(TimePoint aNow)
{
  const Replica& log = m_core->Log();
  const TimePoint since = m_gauges.m_leaderlessSince;
  if (log.Leader() != 0) {
    m_gauges.m_leaderlessSince = TimePoint::max();
  } else if (since == TimePoint::max()) {
    m_gauges.m_leaderlessSince = aNow;
  }
  std::vector<std::uint64_t> heard = m_repair.ListHeard(aNow, kHeardWithinMs);
  heard.push_back(m_options.m_replica);
  m_gauges.m_votersHeard = m_report.CountVotersAmong(heard);
  // A replica that was never added knows no voters; GroupMembershipClient logs
  // for it.
  const bool isLate = log.Leader() == 0 && since != TimePoint::max() &&
                      aNow - since >= kLeaderlessLineMs &&
                      m_report.CountVoters() != 0;
  if (m_leaderlessLine.IsDue(aNow, isLate ? "no leader" : "")) {
    Log(ControlLogLevel::Warning,
        m_report.DescribeWithoutLeader(aNow - since, log.Term(), heard));
  }
}

} // namespace parsleycove
