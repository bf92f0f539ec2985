// What the clients of the simulated control VMs reach, and what came of a play.
#include "Control/MembershipModel.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Consensus/MembershipRules.h"
#include "Control/MembershipChange.h"

namespace parsleycove::test {

namespace {

constexpr Duration kLinkSetupTime = std::chrono::milliseconds(300);

} // namespace

bool
MembershipModel::HasReturned() const
{
  const std::size_t leader = LeaderVm();
  if (leader == m_vms.size()) {
    return false;
  }
  const consensus::MembershipT& members = ReplicaOf(m_vms[leader]).Members();
  std::size_t voters = 0;
  for (const auto& member : members.members) {
    const std::size_t vm = VmOf(member->replica);
    voters += member->voter && vm < m_vms.size() && IsUp(m_vms[vm]) ? 1 : 0;
  }
  const std::size_t bearable = (m_target - 1) / 2;
  return voters >= m_target && voters - bearable >= QuorumSize(members);
}

bool
MembershipModel::IsHeldByOneZone() const
{
  const std::size_t leader = LeaderVm();
  return leader < m_vms.size() &&
         FindMembershipFault(ReplicaOf(m_vms[leader]).Members()).has_value();
}

bool
MembershipModel::KeepsWhatWasAcknowledged()
{
  return m_cluster.Commit(2) && FindViolation().empty();
}

std::string
MembershipModel::FindViolation() const
{
  if (!m_cluster.FirstViolation().empty()) {
    return m_cluster.FirstViolation();
  }
  std::optional<consensus::MembershipT> before;
  for (const auto& [index, entry] : m_cluster.Committed()) {
    if (entry.kind != consensus::EntryKind::Membership) {
      continue;
    }
    auto next = DecodeMembership(entry.data);
    std::set<std::uint64_t> voters;
    for (const auto* members : { before ? &*before : &*next, &*next }) {
      for (const auto& member : members->members) {
        if (member->voter) {
          voters.insert(member->replica);
        }
      }
    }
    if (before && QuorumSize(*before) + QuorumSize(*next) <= voters.size()) {
      return "two majorities need not meet at index " + std::to_string(index);
    }
    before = std::move(next);
  }
  return {};
}

std::string
MembershipModel::Describe() const
{
  const std::size_t leader = LeaderVm();
  std::string text = "leader: ";
  text += leader < m_vms.size() ? m_vms[leader].m_address.m_address : "none";
  if (leader < m_vms.size()) {
    for (const auto& member : ReplicaOf(m_vms[leader]).Members().members) {
      const std::size_t vm = VmOf(member->replica);
      text += "; " + std::to_string(member->replica) + " " +
              (vm < m_vms.size() ? m_vms[vm].m_address.m_address : "lost") +
              (member->voter ? " voter" : " learner");
    }
  }
  for (const Vm& vm : m_vms) {
    if (vm.m_client && !vm.m_client->LastFault().empty()) {
      text += "; " + vm.m_address.m_address + ": " + vm.m_client->LastFault();
    }
  }
  return text;
}

LinkState
MembershipModel::StateOf(std::size_t aFromVm, const SocketAddress& aTo) const
{
  const Vm& from = m_vms[aFromVm];
  const Vm& to = m_vms[VmAt(aTo)];
  if (to.m_gone || m_cluster.IsLinkCut(from.m_id, to.m_id)) {
    return LinkState::Silent;
  }
  if (!IsUp(to)) {
    return LinkState::Refused;
  }
  return IsFrozen(to) ? LinkState::Silent : LinkState::Works;
}

feed::WelcomeT
MembershipModel::DescribeGroup(const SocketAddress& aAt) const
{
  const Replica& replica = ReplicaOf(m_vms[VmAt(aAt)]);
  feed::WelcomeT welcome;
  for (const auto& member : replica.Members().members) {
    const auto vm =
      std::find_if(m_vms.begin(), m_vms.end(), [&](const Vm& aVm) {
        return aVm.m_id == member->replica;
      });
    // The founders of the simulated group know each other by identity only.
    const SocketAddress address =
      vm != m_vms.end() ? vm->m_address
                        : SocketAddress{ member->address, member->port };
    if (address.m_address.empty()) {
      continue;
    }
    if (member->replica == replica.Leader()) {
      welcome.leader_address = address.m_address;
      welcome.leader_port = address.m_port;
    }
    welcome.peers.push_back(std::make_unique<feed::ReplicaAddressT>());
    welcome.peers.back()->replica = member->replica;
    welcome.peers.back()->zone = member->zone;
    welcome.peers.back()->address = address.m_address;
    welcome.peers.back()->port = address.m_port;
  }
  return welcome;
}

bool
MembershipModel::IsConfirmed(const SocketAddress& aAt) const
{
  const Vm& vm = m_vms[VmAt(aAt)];
  const std::size_t leader = LeaderVm();
  if (leader == m_vms.size() || m_vms[leader].m_id != ReplicaOf(vm).Leader()) {
    return false;
  }
  return FindMember(ReplicaOf(m_vms[leader]).Members(), vm.m_id) != nullptr &&
         !m_cluster.IsLinkCut(vm.m_id, m_vms[leader].m_id);
}

// Follows FeedServer::SendStatus: every replica answers from its own log.
CallAnswer
MembershipModel::ReadStatus(std::size_t aFromVm, const SocketAddress& aAt)
{
  feed::StatusReplyT reply;
  const Replica& replica = ReplicaOf(m_vms[VmAt(aAt)]);
  reply.leader = replica.Leader();
  for (const auto& member : replica.Members().members) {
    reply.replicas.push_back(std::make_unique<feed::ReplicaStatusT>());
    reply.replicas.back()->replica = member->replica;
    reply.replicas.back()->voter = member->voter;
  }
  if (m_vms[aFromVm].m_answersToLose > 0) {
    --m_vms[aFromVm].m_answersToLose;
    return std::nullopt;
  }
  feed::FeedBodyUnion body;
  body.Set(std::move(reply));
  return body;
}

// Follows ReplicaNode::AddMember.
CallAnswer
MembershipModel::AddReplica(std::size_t aFromVm,
                            const SocketAddress& aAt,
                            const feed::AddReplicaT& aSelf)
{
  const std::size_t at = VmAt(aAt);
  const Replica& replica = ReplicaOf(m_vms[at]);
  feed::AdminReplyT reply;
  auto change = FindAddition(replica.Members(), aSelf);
  if (!change) {
    reply.ok = true;
    return Deliver(aFromVm, std::move(reply));
  }
  if (replica.Role() != ReplicaRole::Leader) {
    const feed::WelcomeT group = DescribeGroup(aAt);
    reply.not_leader = true;
    reply.leader_address = group.leader_address;
    reply.leader_port = group.leader_port;
    return Deliver(aFromVm, std::move(reply));
  }
  const std::uint64_t term = replica.Term();
  const auto index =
    m_cluster.ProposeMembers(m_vms[at].m_id, std::move(change->m_next));
  if (!index) {
    reply.text = replica.LastReason().m_text;
    return Deliver(aFromVm, std::move(reply));
  }
  // The links to a new member open after its addition.
  m_cluster.At(aSelf.replica).m_inboundCutUntil =
    m_cluster.Now() + kLinkSetupTime;
  m_vms[aFromVm].m_addition = Addition{ at, m_vms[at].m_id, term, *index };
  return std::nullopt;
}

CallAnswer
MembershipModel::PollAddition(std::size_t aFromVm)
{
  Vm& vm = m_vms[aFromVm];
  if (!vm.m_addition) {
    return std::nullopt;
  }
  const Addition addition = *vm.m_addition;
  const Vm& at = m_vms[addition.m_atVm];
  if (StateOf(aFromVm, at.m_address) != LinkState::Works ||
      at.m_id != addition.m_id) {
    vm.m_addition.reset();
    return std::nullopt;
  }
  const Replica& replica = ReplicaOf(at);
  const bool leads =
    replica.Role() == ReplicaRole::Leader && replica.Term() == addition.m_term;
  if (leads && replica.CommitIndex() < addition.m_index) {
    return std::nullopt;
  }
  vm.m_addition.reset();
  feed::AdminReplyT reply;
  reply.ok = leads;
  reply.text = leads ? "" : "leadership was lost, outcome unknown";
  return Deliver(aFromVm, std::move(reply));
}

CallAnswer
MembershipModel::Deliver(std::size_t aToVm, feed::AdminReplyT aReply)
{
  if (m_vms[aToVm].m_answersToLose > 0) {
    --m_vms[aToVm].m_answersToLose;
    return std::nullopt;
  }
  feed::FeedBodyUnion body;
  body.Set(std::move(aReply));
  return body;
}

} // namespace parsleycove::test
