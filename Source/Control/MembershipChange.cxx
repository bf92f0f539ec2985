// The next change of the group's members.
#include "Control/MembershipChange.h"

#include <memory>
#include <utility>
#include <vector>

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

// Returns the learners that answer and have synced all committed entries.
std::vector<const consensus::MemberT*>
ListReadyLearners(TimePoint aNow,
                  const Replica& aLeader,
                  const MembershipRepair& aRepair)
{
  std::vector<const consensus::MemberT*> learners;
  for (const auto& member : aLeader.Members().members) {
    // The match index of a member covers only entries that it has synced.
    const std::uint64_t match = aLeader.MatchIndex(member->replica);
    if (!member->voter && match != 0 && match >= aLeader.CommitIndex() &&
        aRepair.IsResponsive(aNow, member->replica)) {
      learners.push_back(member.get());
    }
  }
  return learners;
}

std::string
DescribeProgress(const Replica& aLeader, std::uint64_t aReplica)
{
  return "caught up to " + std::to_string(aLeader.MatchIndex(aReplica)) +
         " of " + std::to_string(aLeader.CommitIndex());
}

MembershipChange
MakePromotion(const Replica& aLeader,
              std::uint64_t aReplica,
              std::string aEvidence)
{
  MembershipChange change{ aLeader.Members(), aReplica, std::move(aEvidence) };
  for (const auto& member : change.m_next.members) {
    member->voter = member->voter || member->replica == aReplica;
  }
  return change;
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
  for (const auto* learner : ListReadyLearners(aNow, aLeader, aRepair)) {
    auto change = MakePromotion(aLeader, learner->replica, evidence);
    if (aRepair.HasRoom(members, learner->zone) &&
        IsAllowed(members, change, aPassedOver)) {
      return change;
    }
  }
  return std::nullopt;
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
  const consensus::MembershipT& members = aLeader.Members();
  for (const auto* learner : ListReadyLearners(aNow, aLeader, aRepair)) {
    auto change = MakePromotion(
      aLeader, learner->replica, DescribeProgress(aLeader, learner->replica));
    if (IsAllowed(members, change, aPassedOver)) {
      return change;
    }
  }
  return std::nullopt;
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
