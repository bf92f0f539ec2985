// The next change of the group's members.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Consensus/Replica.h"
#include "Control/MembershipRepair.h"
#include "FeedGenerated.h"

namespace parsleycove {

struct MembershipChange
{
  consensus::MembershipT m_next;
  std::uint64_t m_replica = 0; // the member that differs
  std::string m_evidence;      // for the log
};

// Returns the members with this replica as a learner, or std::nullopt if it is
// a member already.
std::optional<MembershipChange>
FindAddition(const consensus::MembershipT& aMembers,
             const feed::AddReplicaT& aRequest);

// Returns the members without this one, or std::nullopt if it is no member.
std::optional<MembershipChange>
FindRemoval(const consensus::MembershipT& aMembers,
            std::uint64_t aReplica,
            std::string aEvidence);

// Returns the members with one learner promoted to voter, or std::nullopt if no
// learner answers, has synced all committed entries and may vote by the rules
// for memberships. aPassedOver is as for FindRepair.
std::optional<MembershipChange>
FindPromotion(TimePoint aNow,
              const Replica& aLeader,
              const MembershipRepair& aRepair,
              std::string& aPassedOver);

// Returns what the leader changes next to keep the group at its target, and
// then to take a majority of the voters from an availability zone that has one,
// or std::nullopt if nothing is to be changed. A change that the rules for
// memberships forbid is passed over, so that it does not block the others. The
// log may refuse the change for now. aPassedOver is set to the last change that
// was passed over and why, for the log; it stays as it is if there was none.
std::optional<MembershipChange>
FindRepair(TimePoint aNow,
           const Replica& aLeader,
           const MembershipRepair& aRepair,
           std::uint64_t aSelf,
           std::string& aPassedOver);

} // namespace parsleycove
