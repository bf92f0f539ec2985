// Decides when the group of replicas needs another voter and which member to
// remove.
//
// Handles the permanent loss of a VM, also one that returns at its address with
// an empty disk and therefore a new identity. A second loss may follow at once,
// so a lost voter is replaced as soon as there is evidence of the loss.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

struct MembershipRepairOptions
{
  // 0: only operators change the members.
  std::size_t m_targetVoters = 0;
  // A voter without a message for this long is unresponsive.
  Duration m_memberTimeout = std::chrono::seconds(3);
};

// Used by the leader. A member is lost if it is unresponsive, or if another
// member at its address has sent a message since: that one runs there with an
// empty disk. A lost voter is removed only once its replacement is a voter, so
// removals never take the group below its target.
class MembershipRepair
{
public:
  explicit MembershipRepair(const MembershipRepairOptions& aOptions);

  // Starts a term as leader and forgets all recorded messages. The time without
  // a message is measured from aNow.
  void Start(TimePoint aNow);
  // Records the current members. The silence of a new one counts from here.
  void UpdateMembers(TimePoint aNow, const consensus::MembershipT& aMembers);
  // Records a message received from this replica.
  void RecordMessage(TimePoint aNow, std::uint64_t aReplica);

  // Returns whether the group consists of its target of voters and of no other
  // member, so that only a loss calls for a change.
  bool IsComplete(const consensus::MembershipT& aMembers) const;
  // Returns whether a learner that has caught up should become a voter.
  bool NeedsVoter(TimePoint aNow,
                  const consensus::MembershipT& aMembers,
                  std::uint64_t aSelf) const;
  // Returns the members that may be removed, in the order of preference: first
  // those whose address another member has taken over. One of them is removed
  // at a time.
  std::vector<std::uint64_t> ListMembersToRemove(
    TimePoint aNow,
    const consensus::MembershipT& aMembers,
    std::uint64_t aSelf) const;
  // Returns whether the group has more voters than its target.
  bool HasSpareVoter(const consensus::MembershipT& aMembers) const;
  // Returns the availability zone that has a majority of the target of voters,
  // or std::nullopt if none has, or not all voters answer: their replacement
  // comes first.
  std::optional<std::string> FindCrowdedZone(
    TimePoint aNow,
    const consensus::MembershipT& aMembers,
    std::uint64_t aSelf) const;
  // Returns whether a zone that is known may have another voter without a
  // majority of the target.
  bool HasRoom(const consensus::MembershipT& aMembers,
               const std::string& aZone) const;
  // Returns whether the replica sent a message recently enough to be promoted.
  bool IsResponsive(TimePoint aNow, std::uint64_t aReplica) const;
  // Returns the voters that are lost.
  std::vector<std::uint64_t> ListLostVoters(
    TimePoint aNow,
    const consensus::MembershipT& aMembers,
    std::uint64_t aSelf) const;
  // Returns the evidence that a member is lost, for the log.
  std::string DescribeLoss(TimePoint aNow,
                           const consensus::MembershipT& aMembers,
                           std::uint64_t aReplica,
                           std::uint64_t aSelf) const;
  // Returns the replicas with a message within aWithin, on every replica.
  std::vector<std::uint64_t> ListHeard(TimePoint aNow, Duration aWithin) const;

private:
  // Returns the time without a message from this replica since it became a
  // member in this term.
  Duration TimeSinceMessage(TimePoint aNow, std::uint64_t aReplica) const;
  bool IsUnresponsive(TimePoint aNow, const consensus::MemberT& aMember) const;
  // Returns whether another member has taken over the member's address.
  bool IsSuperseded(TimePoint aNow,
                    const consensus::MembershipT& aMembers,
                    const consensus::MemberT& aMember,
                    std::uint64_t aSelf) const;
  bool IsLost(TimePoint aNow,
              const consensus::MembershipT& aMembers,
              const consensus::MemberT& aMember,
              std::uint64_t aSelf) const;
  std::size_t MajorityOfTarget() const
  {
    return m_options.m_targetVoters / 2 + 1;
  }

  const MembershipRepairOptions m_options;
  TimePoint m_startedAt{};
  std::unordered_map<std::uint64_t, TimePoint> m_lastMessageAt;
  // When each member was first seen in this term.
  std::unordered_map<std::uint64_t, TimePoint> m_memberSince;
};

} // namespace parsleycove
