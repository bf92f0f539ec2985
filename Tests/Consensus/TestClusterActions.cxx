// Actions of the tests on a cluster. They retry, since faults may be active.
#include "TestCluster.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"

namespace parsleycove::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kRetryInterval = milliseconds(50);
constexpr Duration kActionTimeout = seconds(30);

} // namespace

std::uint64_t
TestCluster::Leader() const
{
  for (const auto& [id, node] : m_nodes) {
    if (IsRunning(node) && node.m_replica->HasLeaderLease(m_now)) {
      return id;
    }
  }
  return 0;
}

bool
TestCluster::Commit(std::uint8_t aValue)
{
  const TimePoint end = m_now + kActionTimeout;
  while (m_now < end && m_firstViolation.empty()) {
    const std::uint64_t leader = Leader();
    const auto index =
      leader ? m_nodes.at(leader).m_replica->Propose(m_now, { aValue })
             : std::nullopt;
    if (leader) {
      Pump(leader);
    }
    for (int i = 0; i < 5; ++i) {
      Run(kRetryInterval);
      const auto found = m_committed.find(index.value_or(0));
      if (found != m_committed.end() &&
          found->second.data == std::vector{ aValue }) {
        return true;
      }
    }
  }
  return false;
}

bool
TestCluster::Read()
{
  const TimePoint end = m_now + kActionTimeout;
  bool ok = true;
  for (auto& [id, node] : m_nodes) {
    bool answered = !IsRunning(node) || !FindMember(Members(), id);
    while (!answered && m_now < end && m_firstViolation.empty()) {
      if (!IsRunning(node)) {
        break;
      }
      consensus::ReadIndexT request;
      request.id = m_nextRead++;
      m_reads[request.id].m_floor = m_acknowledged;
      node.m_replica->ReadIndex(m_now, request);
      Pump(id);
      Run(kRetryInterval);
      const auto& answer = m_reads[request.id].m_answer;
      answered = answer && answer->m_ok;
    }
    ok = ok && (answered || !IsRunning(node));
  }
  return ok;
}

consensus::MembershipT
TestCluster::Members() const
{
  std::uint64_t term = 0;
  consensus::MembershipT members;
  for (const auto& [id, node] : m_nodes) {
    if (node.m_replica && node.m_replica->Role() == ReplicaRole::Leader &&
        node.m_replica->Term() > term) {
      term = node.m_replica->Term();
      members = node.m_replica->Members();
    }
  }
  return members;
}

consensus::MembershipT
TestCluster::With(std::uint64_t aId,
                  const std::string& aZone,
                  bool aVoter) const
{
  consensus::MembershipT next = Without(aId);
  next.members.push_back(std::make_unique<consensus::MemberT>());
  next.members.back()->replica = aId;
  next.members.back()->zone = aZone;
  next.members.back()->voter = aVoter;
  return next;
}

consensus::MembershipT
TestCluster::Without(std::uint64_t aId) const
{
  consensus::MembershipT next = Members();
  std::erase_if(next.members,
                [&](const auto& aMember) { return aMember->replica == aId; });
  return next;
}

bool
TestCluster::ChangeMembership(consensus::MembershipT aNext)
{
  SortMembers(aNext);
  const TimePoint end = m_now + kActionTimeout;
  while (m_now < end && m_firstViolation.empty()) {
    const std::uint64_t leader = Leader();
    if (leader) {
      const Replica& replica = *m_nodes.at(leader).m_replica;
      const bool done =
        EncodeMembership(replica.Members()) == EncodeMembership(aNext);
      if (done && replica.CommitIndex() == replica.LastIndex()) {
        return true;
      }
      m_nodes.at(leader).m_replica->ProposeMembership(m_now, aNext);
      Pump(leader);
    }
    Run(kRetryInterval);
  }
  return false;
}

std::uint64_t
TestCluster::Add(const std::string& aZone)
{
  const std::uint64_t id = m_nextId++;
  m_nodes[id].m_zone = aZone;
  Restart(id);
  return id;
}

std::optional<std::uint64_t>
TestCluster::ProposeValue(std::uint64_t aId, std::uint8_t aValue)
{
  const auto index = m_nodes.at(aId).m_replica->Propose(m_now, { aValue });
  Pump(aId);
  return index;
}

std::optional<std::uint64_t>
TestCluster::ProposeMembers(std::uint64_t aId, consensus::MembershipT aNext)
{
  const auto index =
    m_nodes.at(aId).m_replica->ProposeMembership(m_now, std::move(aNext));
  Pump(aId);
  return index;
}

void
TestCluster::CutLink(std::uint64_t aLeft,
                     std::uint64_t aRight,
                     TimePoint aUntil)
{
  m_linkCuts[std::minmax(aLeft, aRight)] = aUntil;
}

bool
TestCluster::IsLinkCut(std::uint64_t aLeft, std::uint64_t aRight) const
{
  const auto found = m_linkCuts.find(std::minmax(aLeft, aRight));
  return found != m_linkCuts.end() && m_now < found->second;
}

std::uint64_t
TestCluster::Join(const std::string& aZone)
{
  const std::uint64_t id = Add(aZone);
  for (int i = 0; i < 100 && !Leader(); ++i) {
    Run(kRetryInterval);
  }
  const bool joined = ChangeMembership(With(id, aZone, false));
  return joined ? id : 0;
}

bool
TestCluster::Replace(std::uint64_t aOld)
{
  const std::string zone = m_nodes.at(aOld).m_zone;
  for (;;) {
    const std::uint64_t id = Join(zone);
    if (id == 0 || !m_firstViolation.empty()) {
      return false;
    }
    if (ChangeMembership(With(id, zone, true))) {
      return ChangeMembership(Without(aOld));
    }
    // The disk of the new replica was lost before its promotion.
    if (!m_nodes.at(id).m_wiped || !ChangeMembership(Without(id))) {
      return false;
    }
  }
}

void
TestCluster::Compact(std::uint64_t aId)
{
  Node& node = m_nodes.at(aId);
  const auto meta = node.m_replica
                      ? node.m_replica->DescribeSnapshot(node.m_applied)
                      : std::nullopt;
  if (!meta || meta->index <= node.m_disk.BaseIndex()) {
    return;
  }
  node.m_disk.Install(*meta, std::vector<std::uint8_t>(meta->index, 1), true);
  node.m_replica->Compact(*meta);
}

void
TestCluster::Crash(std::uint64_t aId)
{
  Node& node = m_nodes.at(aId);
  node.m_replica.reset();
  node.m_received.clear();
  node.m_downUntil = m_now + seconds(1);
}

void
TestCluster::Restart(std::uint64_t aId)
{
  Node& node = m_nodes.at(aId);
  node.m_applied = node.m_disk.BaseIndex();
  node.m_replica =
    std::make_unique<Replica>(Options(aId), node.m_disk.Restore(), m_now);
}

void
TestCluster::Wipe(std::uint64_t aId)
{
  Node& node = m_nodes.at(aId);
  node.m_replica.reset();
  node.m_disk = {};
  node.m_wiped = true;
}

bool
TestCluster::Heal()
{
  m_plan.clear();
  for (auto& [id, node] : m_nodes) {
    node.m_inboundCutUntil = m_now;
    node.m_outboundCutUntil = m_now;
    node.m_frozenUntil = std::min(node.m_frozenUntil, m_now);
    node.m_downUntil = std::min(node.m_downUntil, m_now);
  }
  if (!Commit(0xFE)) {
    return false;
  }
  std::vector<std::uint64_t> wiped;
  for (const auto& [id, node] : m_nodes) {
    if (node.m_wiped && FindMember(Members(), id)) {
      wiped.push_back(id);
    }
  }
  for (const std::uint64_t id : wiped) {
    if (!Replace(id)) {
      return false;
    }
  }
  if (!Commit(0xFF)) {
    return false;
  }
  const TimePoint end = m_now + kActionTimeout;
  while (!IsCaughtUp() && m_now < end && m_firstViolation.empty()) {
    Run(kRetryInterval);
  }
  return IsCaughtUp();
}

bool
TestCluster::IsCaughtUp() const
{
  const std::uint64_t leader = Leader();
  if (leader == 0 || m_acknowledged > m_nodes.at(leader).m_applied) {
    return false;
  }
  const consensus::MembershipT members = Members();
  const std::uint64_t target = m_nodes.at(leader).m_applied;
  return std::all_of(
    members.members.begin(), members.members.end(), [&](const auto& aMember) {
      return m_nodes.at(aMember->replica).m_applied == target;
    });
}

} // namespace parsleycove::test
