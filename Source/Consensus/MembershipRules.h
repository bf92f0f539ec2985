// Rules for a valid membership and for a valid change of a membership.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
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

// Returns why the membership is not valid, or std::nullopt if it is valid.
//
// In a group of three or more voters, no availability zone may hold a majority.
// Otherwise a zone that is partitioned from the others could commit alone.
std::optional<std::string>
FindMembershipFault(const consensus::MembershipT& aMembership);

// Returns why aNext must not follow aCurrent, or std::nullopt if it may. A
// change adds one learner, promotes one learner, removes one member or moves
// one member to another address. A group of three or more voters whose members
// are all in one availability zone, as far as is known, stays changeable, so
// that lost voters are replaced.
std::optional<std::string>
FindChangeFault(const consensus::MembershipT& aCurrent,
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
