// What a membership may be, and how it may change.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

// Returns null for a replica that is no member.
const consensus::MemberT*
FindMember(const consensus::MembershipT& aMembership, std::uint64_t aReplica);

bool
IsVoter(const consensus::MembershipT& aMembership, std::uint64_t aReplica);

std::size_t
CountVoters(const consensus::MembershipT& aMembership);

// The smallest number of voters that decides.
std::size_t
QuorumSize(const consensus::MembershipT& aMembership);

// Returns why this cannot be a membership, or nothing.
//
// In a group of three voters or more, no availability zone alone may hold a
// majority; otherwise a zone that is cut off would decide alone.
std::optional<std::string>
FindMembershipFault(const consensus::MembershipT& aMembership);

// Returns why aNext must not follow aCurrent, or nothing. A step adds one
// learner, promotes one learner, removes one member or moves one to another
// address.
std::optional<std::string>
FindChangeFault(const consensus::MembershipT& aCurrent,
                const consensus::MembershipT& aNext);

// The learner that aNext makes a voter, or 0.
std::uint64_t
FindPromoted(const consensus::MembershipT& aCurrent,
             const consensus::MembershipT& aNext);

// Brings the members into the order of their ids, so that equal memberships
// are equal byte for byte.
void
SortMembers(consensus::MembershipT& aMembership);

std::vector<std::uint8_t>
EncodeMembership(const consensus::MembershipT& aMembership);

std::optional<consensus::MembershipT>
DecodeMembership(const std::vector<std::uint8_t>& aBytes);

} // namespace parsleycove
