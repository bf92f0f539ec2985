// Rules for a valid membership and for a valid change of a membership.
#include "Consensus/MembershipRules.h"

#include <algorithm>

namespace parsleycove {

namespace {

using consensus::MembershipT;
using consensus::MemberT;

constexpr std::size_t kZoneRuleMinVoters = 3;

std::string
NameMember(const MemberT& aMember)
{
  return "replica " + std::to_string(aMember.replica) + " on VM \"" +
         aMember.vm + "\"";
}

// Returns why the voters are not spread over enough availability zones, or
// std::nullopt if they are.
std::optional<std::string>
FindZoneFault(const MembershipT& aMembership)
{
  const auto zone = FindMajorityZone(aMembership);
  if (!zone) {
    return std::nullopt;
  }
  return "membership: availability zone \"" + *zone + "\" has " +
         std::to_string(CountVotersOfZone(aMembership, *zone)) + " of " +
         std::to_string(CountVoters(aMembership)) +
         " voters; expected fewer than a majority";
}

// Returns why a member is not valid, or std::nullopt if all are.
std::optional<std::string>
FindMemberFault(const MembershipT& aMembership)
{
  if (CountVoters(aMembership) == 0) {
    return "membership: no voter; expected at least one";
  }
  for (const auto& member : aMembership.members) {
    if (member->replica == 0) {
      return "membership: replica 0 on VM \"" + member->vm +
             "\"; expected an identity other than 0";
    }
    if (FindMember(aMembership, member->replica) != member.get()) {
      return "membership: " + NameMember(*member) + " is listed twice";
    }
  }
  return std::nullopt;
}

bool
HasSameAddress(const MemberT& aLeft, const MemberT& aRight)
{
  return aLeft.vm == aRight.vm && aLeft.zone == aRight.zone &&
         aLeft.address == aRight.address && aLeft.port == aRight.port;
}

} // namespace

const MemberT*
FindMember(const MembershipT& aMembership, std::uint64_t aReplica)
{
  for (const auto& member : aMembership.members) {
    if (member->replica == aReplica) {
      return member.get();
    }
  }
  return nullptr;
}

bool
IsVoter(const MembershipT& aMembership, std::uint64_t aReplica)
{
  const MemberT* member = FindMember(aMembership, aReplica);
  return member && member->voter;
}

std::size_t
CountVoters(const MembershipT& aMembership)
{
  return std::count_if(aMembership.members.begin(),
                       aMembership.members.end(),
                       [](const auto& aMember) { return aMember->voter; });
}

std::size_t
QuorumSize(const MembershipT& aMembership)
{
  return CountVoters(aMembership) / 2 + 1;
}

std::size_t
CountVotersOfZone(const MembershipT& aMembership, std::string_view aZone)
{
  return std::count_if(aMembership.members.begin(),
                       aMembership.members.end(),
                       [&](const auto& aMember) {
                         return aMember->voter && aMember->zone == aZone;
                       });
}

std::optional<std::string>
FindMajorityZone(const MembershipT& aMembership)
{
  if (CountVoters(aMembership) < kZoneRuleMinVoters) {
    return std::nullopt;
  }
  for (const auto& member : aMembership.members) {
    // Founding members that know each other only by address have no zone, so
    // the rule of the zones cannot be checked for them.
    if (!member->zone.empty() && CountVotersOfZone(aMembership, member->zone) >=
                                   QuorumSize(aMembership)) {
      return member->zone;
    }
  }
  return std::nullopt;
}

std::optional<std::string>
FindMembershipFault(const MembershipT& aMembership)
{
  if (auto fault = FindMemberFault(aMembership)) {
    return fault;
  }
  return FindZoneFault(aMembership);
}

std::optional<std::string>
FindChangeFault(const MembershipT& aCurrent, const MembershipT& aNext)
{
  if (auto fault = FindMemberFault(aNext)) {
    return fault;
  }
  std::size_t changes = 0;
  for (const auto& member : aNext.members) {
    const MemberT* before = FindMember(aCurrent, member->replica);
    if (!before && member->voter) {
      return "membership: " + NameMember(*member) +
             " would join as a voter; expected a learner first";
    }
    if (before && before->voter && !member->voter) {
      return "membership: " + NameMember(*member) +
             " would change from voter to learner; expected its removal";
    }
    const bool same = before && before->voter == member->voter &&
                      HasSameAddress(*before, *member);
    changes += same ? 0 : 1;
  }
  for (const auto& member : aCurrent.members) {
    changes += FindMember(aNext, member->replica) ? 0 : 1;
  }
  if (changes != 1) {
    return "membership: " + std::to_string(changes) +
           " members differ; expected one change at a time";
  }
  return std::nullopt;
}

std::optional<std::string>
FindSpreadFault(const MembershipT& aCurrent, const MembershipT& aNext)
{
  auto fault = FindZoneFault(aNext);
  return fault && FindMajorityZone(aCurrent) != FindMajorityZone(aNext)
           ? fault
           : std::nullopt;
}

std::uint64_t
FindRemovedVoter(const MembershipT& aCurrent, const MembershipT& aNext)
{
  for (const auto& member : aCurrent.members) {
    if (member->voter && FindMember(aNext, member->replica) == nullptr) {
      return member->replica;
    }
  }
  return 0;
}

std::uint64_t
FindPromoted(const MembershipT& aCurrent, const MembershipT& aNext)
{
  for (const auto& member : aNext.members) {
    if (member->voter && !IsVoter(aCurrent, member->replica)) {
      return member->replica;
    }
  }
  return 0;
}

void
SortMembers(MembershipT& aMembership)
{
  std::sort(aMembership.members.begin(),
            aMembership.members.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft->replica < aRight->replica;
            });
}

std::vector<std::uint8_t>
EncodeMembership(const MembershipT& aMembership)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(consensus::Membership::Pack(builder, &aMembership));
  return { builder.GetBufferPointer(),
           builder.GetBufferPointer() + builder.GetSize() };
}

std::optional<MembershipT>
DecodeMembership(const std::vector<std::uint8_t>& aBytes)
{
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (!verifier.VerifyBuffer<consensus::Membership>(nullptr)) {
    return std::nullopt;
  }
  MembershipT result;
  flatbuffers::GetRoot<consensus::Membership>(aBytes.data())->UnPackTo(&result);
  return result;
}

} // namespace parsleycove
