// Describes the changes of the group's members and a group below its target,
// for the log and the metrics.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

// Follows the memberships of one replica's log. A membership counts from its
// append, so a change that is truncated is reported as a change back.
class MembershipReport
{
public:
  explicit MembershipReport(std::size_t aTargetVoters)
    : m_target(aTargetVoters)
  {
  }

  // Sets the first membership, which is not reported.
  void Start(TimePoint aNow, const consensus::MembershipT& aMembers);
  // Notes why this leader is about to change a member. Only the latest note is
  // kept, since one change is made at a time.
  void SetEvidence(std::uint64_t aReplica, std::string aEvidence);
  // Returns one line for each member that differs from the last call.
  std::vector<std::string> Update(TimePoint aNow,
                                  const consensus::MembershipT& aMembers);

  // Returns the line for a group that has fewer voters that answer, or bears
  // fewer losses, than with its target of voters, or an empty text. aSilent are
  // the voters that do not answer; aRefusal is why the leader's last change was
  // refused, or empty.
  std::string DescribeShortage(TimePoint aNow,
                               const std::vector<std::uint64_t>& aSilent,
                               const std::string& aRefusal) const;

  // Returns the line for a replica that has had no leader for aFor: the voters
  // that it knows, and of which of them it hears. aHeard are the replicas heard
  // of recently, the replica itself included.
  std::string DescribeWithoutLeader(
    Duration aFor,
    std::uint64_t aTerm,
    const std::vector<std::uint64_t>& aHeard) const;

  std::size_t CountVoters() const;
  // Returns how many voters may be lost at once beside aSilent ones with a
  // majority left.
  std::size_t CountBearableLosses(std::size_t aSilent) const;
  std::size_t CountVotersAmong(
    const std::vector<std::uint64_t>& aReplicas) const;
  std::size_t CountWithoutVote() const;
  // Returns since when the member has had no vote that has had none for the
  // longest time, or TimePoint::max() if all members vote.
  TimePoint OldestWithoutVoteSince() const;

private:
  struct Member
  {
    std::string m_vm;
    std::string m_address;
    bool m_voter = false;
    TimePoint m_since{}; // when this replica first saw it as it is now
  };
  using Members = std::map<std::uint64_t, Member>;

  static Members ListMembers(TimePoint aNow,
                             const consensus::MembershipT& aMembers);
  std::string DescribeChange(std::uint64_t aReplica,
                             const Member* aBefore,
                             const Member* aAfter) const;

  const std::size_t m_target; // 0: operators change the members
  Members m_members;
  std::uint64_t m_evidenceFor = 0;
  std::string m_evidence;
};

} // namespace parsleycove
