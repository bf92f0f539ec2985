// The next change of the group's members.
#include "Control/MembershipChange.h"

#include <memory>
#include <utility>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

// Returns whether the rules for memberships allow the change. Otherwise sets
// aPassedOver to the change and the reason.
bool
IsAllowed(const consensus::MembershipT& aMembers,
          const MembershipChange& aChange,
          std::string& aPassedOver)
{
  const auto fault = FindChangeFault(aMembers, aChange.m_next);
  if (fault) {
    aPassedOver = "member " + std::to_string(aChange.m_replica) + " (" +
                  aChange.m_evidence + "): " + *fault;
  }
  return !fault;
}

// Returns the promotion of the first learner that answers, has synced all
// committed entries and is wanted, or std::nullopt if there is none.
template<typename Predicate>
std::optional<MembershipChange>
FindPromotionOf(TimePoint aNow,
                const Replica& aLeader,
                const MembershipRepair& aRepair,
                Predicate aIsWanted,
                std::string& aPassedOver)
{
  const consensus::MembershipT& members = aLeader.Members();
  const std::uint64_t commit = aLeader.CommitIndex();
  for (std::size_t i = 0; i < members.members.size(); ++i) {
    const consensus::MemberT& member = *members.members[i];
    // The match index of a member covers only entries that it has synced.
    const std::uint64_t match = aLeader.MatchIndex(member.replica);
    if (member.voter || match == 0 || match < commit || !aIsWanted(member) ||
        !aRepair.IsResponsive(aNow, member.replica)) {
      continue;
    }
    MembershipChange change{ members,
                             member.replica,
                             "caught up to " + std::to_string(match) + " of " +
                               std::to_string(commit) };
    change.m_next.members[i]->voter = true;
    if (IsAllowed(members, change, aPassedOver)) {
      return change;
    }
  }
  return std::nullopt;
}

// Returns the promotion of a learner outside of the availability zone with a
// majority or, once the group has a voter beyond its target, the removal of a
// voter of that zone.
std::optional<MembershipChange>
FindBetterSpread(TimePoint aNow,
                 const Replica& aLeader,
                 const MembershipRepair& aRepair,
                 std::uint64_t aSelf,
                 std::string& aPassedOver)
{
  const consensus::MembershipT& members = aLeader.Members();
  const auto zone = aRepair.FindCrowdedZone(aNow, members, aSelf);
  if (!zone) {
    return std::nullopt;
  }
  const std::string evidence =
    "availability zone \"" + *zone + "\" has a majority of the voters";
  if (aRepair.HasSpareVoter(members)) {
    for (const auto& member : members.members) {
      if (member->voter && member->zone == *zone && member->replica != aSelf) {
        return FindRemoval(members, member->replica, evidence);
      }
    }
    return std::nullopt;
  }
  auto promotion = FindPromotionOf(
    aNow,
    aLeader,
    aRepair,
    [&](const auto& aMember) { return aRepair.HasRoom(members, aMember.zone); },
    aPassedOver);
  if (promotion) {
    promotion->m_evidence += ", " + evidence;
  }
  return promotion;
}

} // namespace

std::optional<MembershipChange>
FindAddition(const consensus::MembershipT& aMembers,
             const feed::AddReplicaT& aRequest)
{
  if (FindMember(aMembers, aRequest.replica) != nullptr) {
    return std::nullopt;
  }
  auto member = std::make_unique<consensus::MemberT>();
  member->replica = aRequest.replica;
  member->vm = aRequest.vm;
  member->zone = aRequest.zone;
  member->address = aRequest.address;
  member->port = aRequest.port;
  member->voter = false;
  MembershipChange change{ aMembers, aRequest.replica, "asked to be added" };
  change.m_next.members.push_back(std::move(member));
  return change;
}

std::optional<MembershipChange>
FindRemoval(const consensus::MembershipT& aMembers,
            std::uint64_t aReplica,
            std::string aEvidence)
{
  if (FindMember(aMembers, aReplica) == nullptr) {
    return std::nullopt;
  }
  MembershipChange change{ aMembers, aReplica, std::move(aEvidence) };
  std::erase_if(change.m_next.members, [&](const auto& aMember) {
    return aMember->replica == aReplica;
  });
  return change;
}

std::optional<MembershipChange>
FindPromotion(TimePoint aNow,
              const Replica& aLeader,
              const MembershipRepair& aRepair,
              std::string& aPassedOver)
{
  return FindPromotionOf(
    aNow, aLeader, aRepair, [](const auto&) { return true; }, aPassedOver);
}

std::optional<MembershipChange>
FindRepair(TimePoint aNow,
           const Replica& aLeader,
           const MembershipRepair& aRepair,
           std::uint64_t aSelf,
           std::string& aPassedOver)
{
  const consensus::MembershipT& members = aLeader.Members();
  if (aRepair.NeedsVoter(aNow, members, aSelf)) {
    if (auto promotion = FindPromotion(aNow, aLeader, aRepair, aPassedOver)) {
      return promotion;
    }
  }
  for (const std::uint64_t failed :
       aRepair.ListMembersToRemove(aNow, members, aSelf)) {
    auto removal = FindRemoval(
      members, failed, aRepair.DescribeLoss(aNow, members, failed, aSelf));
    if (removal && IsAllowed(members, *removal, aPassedOver)) {
      return removal;
    }
  }
  return FindBetterSpread(aNow, aLeader, aRepair, aSelf, aPassedOver);
}

} // namespace parsleycove
