// Decides when the group of replicas needs another voter and which member to
// remove.
#include "Control/MembershipRepair.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

// A learner that has not caught up gets a longer time-out than a voter, since
// it may be installing a snapshot.
constexpr int kLearnerTimeoutFactor = 3;
// A learner is promoted only if its last message is at most this share of the
// time-out old: a lost learner with a vote would only raise the majority.
constexpr int kPromotionShare = 3;

} // namespace

MembershipRepair::MembershipRepair(const MembershipRepairOptions& aOptions)
  : m_options(aOptions)
{
}

void
MembershipRepair::Start(TimePoint aNow)
{
  m_startedAt = aNow;
  m_lastMessageAt.clear();
}

void
MembershipRepair::RecordMessage(TimePoint aNow, std::uint64_t aReplica)
{
  m_lastMessageAt[aReplica] = aNow;
}

Duration
MembershipRepair::TimeSinceMessage(TimePoint aNow, std::uint64_t aReplica) const
{
  const auto lastMessage = m_lastMessageAt.find(aReplica);
  return aNow - (lastMessage == m_lastMessageAt.end() ? m_startedAt
                                                      : lastMessage->second);
}

std::int64_t
MembershipRepair::MsSinceMessage(TimePoint aNow, std::uint64_t aReplica) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           TimeSinceMessage(aNow, aReplica))
    .count();
}

std::vector<std::uint64_t>
MembershipRepair::ListHeard(TimePoint aNow, Duration aWithin) const
{
  std::vector<std::uint64_t> replicas;
  for (const auto& [replica, at] : m_lastMessageAt) {
    if (aNow - at < aWithin) {
      replicas.push_back(replica);
    }
  }
  return replicas;
}

bool
MembershipRepair::IsUnresponsive(TimePoint aNow,
                                 const consensus::MemberT& aMember,
                                 std::uint64_t aSelf) const
{
  const Duration timeout =
    m_options.m_memberTimeout * (aMember.voter ? 1 : kLearnerTimeoutFactor);
  return aMember.replica != aSelf &&
         TimeSinceMessage(aNow, aMember.replica) >= timeout;
}

bool
MembershipRepair::NeedsVoter(TimePoint aNow,
                             const consensus::MembershipT& aMembers,
                             std::uint64_t aSelf) const
{
  if (m_options.m_targetVoters == 0 ||
      CountVoters(aMembers) < m_options.m_targetVoters) {
    return true;
  }
  // Allows one voter more than the target at most. The unresponsive voter is
  // removed next.
  return CountVoters(aMembers) == m_options.m_targetVoters &&
         std::any_of(aMembers.members.begin(),
                     aMembers.members.end(),
                     [&](const auto& aMember) {
                       return aMember->voter &&
                              IsUnresponsive(aNow, *aMember, aSelf);
                     });
}

std::vector<std::uint64_t>
MembershipRepair::ListUnresponsiveVoters(TimePoint aNow,
                                         const consensus::MembershipT& aMembers,
                                         std::uint64_t aSelf) const
{
  std::vector<std::uint64_t> replicas;
  for (const auto& member : aMembers.members) {
    if (member->voter && IsUnresponsive(aNow, *member, aSelf)) {
      replicas.push_back(member->replica);
    }
  }
  return replicas;
}

std::vector<std::uint64_t>
MembershipRepair::ListMembersToRemove(TimePoint aNow,
                                      const consensus::MembershipT& aMembers,
                                      std::uint64_t aSelf) const
{
  std::vector<std::uint64_t> replicas;
  if (m_options.m_targetVoters == 0) {
    return replicas;
  }
  const bool hasSpareVoter = CountVoters(aMembers) > m_options.m_targetVoters;
  for (const auto& member : aMembers.members) {
    const bool isRemovable = !member->voter || hasSpareVoter;
    if (isRemovable && IsUnresponsive(aNow, *member, aSelf)) {
      replicas.push_back(member->replica);
    }
  }
  return replicas;
}

bool
MembershipRepair::IsResponsive(TimePoint aNow, std::uint64_t aReplica) const
{
  return TimeSinceMessage(aNow, aReplica) <
         m_options.m_memberTimeout / kPromotionShare;
}

} // namespace parsleycove
