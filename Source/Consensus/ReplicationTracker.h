// A leader's knowledge of all members, and what a quorum of them says.
#pragma once

#include <cstdint>
#include <vector>

#include "Consensus/Progress.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

class ReplicationTracker
{
public:
  explicit ReplicationTracker(std::uint64_t aSelf)
    : m_self(aSelf)
  {
  }

  void Clear() { m_members.clear(); }
  // Follows a membership; a new member starts to be probed at aNext.
  void UpdateMembers(const consensus::MembershipT& aMembership,
                     std::uint64_t aNext);

  // Returns null for a replica that is no member, and for the leader itself.
  Progress* Find(std::uint64_t aReplica);
  const Progress* Find(std::uint64_t aReplica) const;
  std::vector<Progress>& Members() { return m_members; }

  // The highest index that a quorum of voters has stored.
  std::uint64_t QuorumMatch(const consensus::MembershipT& aMembership,
                            std::uint64_t aOwnMatch) const;
  // The latest time at which a quorum's answered messages had gone out.
  TimePoint QuorumSentAt(const consensus::MembershipT& aMembership,
                         TimePoint aNow) const;
  // The highest probe that a quorum has answered, the leader itself included.
  std::uint64_t QuorumProbe(const consensus::MembershipT& aMembership) const;

private:
  std::uint64_t m_self;
  std::vector<Progress> m_members; // without the leader itself
};

} // namespace parsleycove
