// Rules for a valid membership and for a valid change of a membership.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

// Returns nullptr for a replica that is not a member.
const consensus::MemberT*
FindMember(const consensus::MembershipT& aMembership, std::uint64_t aReplica);

bool
IsVoter(const consensus::MembershipT& aMembership, std::uint64_t aReplica);

std::size_t
CountVoters(const consensus::MembershipT& aMembership);

// Returns the number of voters that form a majority.
std::size_t
QuorumSize(const consensus::MembershipT& aMembership);

// Returns the number of voters that are known to be in this availability zone.
std::size_t
CountVotersOfZone(const consensus::MembershipT& aMembership,
                  std::string_view aZone);

// Returns the availability zone that holds a majority of three or more voters,
// or std::nullopt if none is known to.
std::optional<std::string>
FindMajorityZone(const consensus::MembershipT& aMembership);

// Returns why a group must not be formed of these members, or std::nullopt if
// it may.
//
// In a group of three or more voters, no availability zone may hold a majority.
// Otherwise the loss of that zone ends the group.
std::optional<std::string>
FindMembershipFault(const consensus::MembershipT& aMembership);

// Returns why aNext must not follow aCurrent, or std::nullopt if it may. A
// change adds one learner, promotes one learner, removes one member or moves
// one member to another address.
std::optional<std::string>
FindChangeFault(const consensus::MembershipT& aCurrent,
                const consensus::MembershipT& aNext);

// Returns why the voters of aNext are worse spread over the availability zones
// than those of aCurrent, or std::nullopt if they are not: a zone gets a
// majority that it did not have.
std::optional<std::string>
FindSpreadFault(const consensus::MembershipT& aCurrent,
                const consensus::MembershipT& aNext);

// Returns the voter that aNext removes, or 0.
std::uint64_t
FindRemovedVoter(const consensus::MembershipT& aCurrent,
                 const consensus::MembershipT& aNext);

// Returns the learner that aNext promotes to a voter, or 0.
std::uint64_t
FindPromoted(const consensus::MembershipT& aCurrent,
             const consensus::MembershipT& aNext);

// Sorts the members by their ids, so that equal memberships have equal
// encodings.
void
SortMembers(consensus::MembershipT& aMembership);

std::vector<std::uint8_t>
EncodeMembership(const consensus::MembershipT& aMembership);

// Returns std::nullopt if the bytes do not encode a membership.
std::optional<consensus::MembershipT>
DecodeMembership(const std::vector<std::uint8_t>& aBytes);

} // namespace parsleycove
