// The feature level that a replica group has agreed on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "ConsensusGenerated.h"

namespace parsleycove {

// Tells which commands every member of the group is known to read, so that the
// leader proposes no others. A member that cannot read a committed command can
// neither apply nor skip it.
//
// The level of the commands that were applied counts as agreed whatever the
// members state: a member needs it to read the log. It also keeps a level
// agreed while a member is down, and when the leader changes.
class GroupFeatureLevel
{
public:
  // aOwn is the level that this replica reads. aTargetVoters: see
  // ReplicaServiceOptions; 0 means no target.
  GroupFeatureLevel(std::uint64_t aReplica,
                    std::uint32_t aOwn,
                    std::size_t aTargetVoters);

  // Records the level that a replica stated in a message.
  void RecordMember(std::uint64_t aReplica, std::uint32_t aLevel);
  // Records what a leader stated about its group.
  void RecordLeaderWord(std::uint64_t aLeader, std::uint32_t aLevel);

  // Returns the level of the group for its leader. aApplied is the highest
  // level of the commands that were applied. A group below its target of voters
  // agrees on no higher level: the removed voter may come back with its build.
  std::uint32_t AsLeader(const consensus::MembershipT& aMembers,
                         std::uint32_t aApplied) const;
  // Returns the level of the group as its leader stated it; aLeader is 0 if
  // this replica knows no leader.
  std::uint32_t AsFollower(std::uint64_t aLeader, std::uint32_t aApplied) const;
  // Returns the level that a member stated last, 0 if it stated none.
  std::uint32_t Of(std::uint64_t aReplica) const;

private:
  const std::uint64_t m_replica;
  const std::uint32_t m_own;
  const std::size_t m_targetVoters;
  std::map<std::uint64_t, std::uint32_t> m_levels; // by replica
  std::uint64_t m_leader = 0;                      // that stated m_word
  std::uint32_t m_word = 0;
};

} // namespace parsleycove
