// Tracks the leader's replication progress of all members, and computes values
// that a quorum of the voters has reached.
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
  // Adds and removes members by the membership. A new member has the next index
  // aNext.
  void UpdateMembers(const consensus::MembershipT& aMembership,
                     std::uint64_t aNext);

  // Returns nullptr for a replica that is not a member, and for the leader
  // itself.
  Progress* Find(std::uint64_t aReplica);
  const Progress* Find(std::uint64_t aReplica) const;
  std::vector<Progress>& Members() { return m_members; }

  // Returns the highest index that a quorum of voters has stored. aOwnMatch is
  // the last index that the leader itself has stored.
  std::uint64_t QuorumMatch(const consensus::MembershipT& aMembership,
                            std::uint64_t aOwnMatch) const;
  // Returns the latest time such that a quorum of voters has answered a message
  // sent at this time or later. The leader itself counts with aNow. Returns
  // TimePoint::min() if no quorum has answered.
  TimePoint QuorumSentAt(const consensus::MembershipT& aMembership,
                         TimePoint aNow) const;
  // Returns the highest probe number that a quorum of voters has answered; the
  // leader itself counts as having answered all.
  std::uint64_t QuorumProbe(const consensus::MembershipT& aMembership) const;

private:
  std::uint64_t m_self;
  std::vector<Progress> m_members; // all members except the leader itself
};

} // namespace parsleycove
