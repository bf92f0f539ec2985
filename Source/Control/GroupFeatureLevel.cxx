// The feature level that a replica group has agreed on.
#include "Control/GroupFeatureLevel.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

GroupFeatureLevel::GroupFeatureLevel(std::uint64_t aReplica,
                                     std::uint32_t aOwn,
                                     std::size_t aTargetVoters)
  : m_replica(aReplica)
  , m_own(aOwn)
  , m_targetVoters(aTargetVoters)
{
}

void
GroupFeatureLevel::RecordMember(std::uint64_t aReplica, std::uint32_t aLevel)
{
  m_levels[aReplica] = aLevel;
}

void
GroupFeatureLevel::RecordLeaderWord(std::uint64_t aLeader, std::uint32_t aLevel)
{
  m_leader = aLeader;
  m_word = aLevel;
}

std::uint32_t
GroupFeatureLevel::AsLeader(const consensus::MembershipT& aMembers,
                            std::uint32_t aApplied) const
{
  if (CountVoters(aMembers) < m_targetVoters) {
    return aApplied;
  }
  std::uint32_t common = m_own;
  for (const auto& member : aMembers.members) {
    common = std::min(common, Of(member->replica));
  }
  return std::max(common, aApplied);
}

std::uint32_t
GroupFeatureLevel::AsFollower(std::uint64_t aLeader,
                              std::uint32_t aApplied) const
{
  return aLeader != 0 && aLeader == m_leader
           ? std::max(std::min(m_word, m_own), aApplied)
           : aApplied;
}

std::uint32_t
GroupFeatureLevel::Of(std::uint64_t aReplica) const
{
  if (aReplica == m_replica) {
    return m_own;
  }
  const auto found = m_levels.find(aReplica);
  return found == m_levels.end() ? 0 : found->second;
}

} // namespace parsleycove
