// The next change of the group's members.
#include "Control/MembershipChange.h"

#include <memory>
#include <utility>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

// A learner is promoted once it lags the commit index by at most this many
// entries.
constexpr std::uint64_t kMaxLearnerLag = 64;

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
FindPromotion(const Replica& aLeader)
{
  const consensus::MembershipT& members = aLeader.Members();
  for (std::size_t i = 0; i < members.members.size(); ++i) {
    const consensus::MemberT& member = *members.members[i];
    // The match index of a member covers only entries that it has synced.
    const std::uint64_t match = aLeader.MatchIndex(member.replica);
    const bool near =
      match != 0 && match + kMaxLearnerLag >= aLeader.CommitIndex();
    if (!member.voter && near) {
      MembershipChange change{ members,
                               member.replica,
                               "caught up to " + std::to_string(match) +
                                 " of " +
                                 std::to_string(aLeader.CommitIndex()) };
      change.m_next.members[i]->voter = true;
      return change;
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
FindRepair(TimePoint aNow,
           const Replica& aLeader,
           const MembershipRepair& aRepair,
           std::uint64_t aSelf)
{
  const consensus::MembershipT& members = aLeader.Members();
  if (aRepair.NeedsVoter(aNow, members, aSelf)) {
    if (auto promotion = FindPromotion(aLeader)) {
      return promotion;
    }
  }
  const std::uint64_t failed = aRepair.FindMemberToRemove(aNow, members, aSelf);
  return FindRemoval(members,
                     failed,
                     "silent for " +
                       std::to_string(aRepair.MsSinceMessage(aNow, failed)) +
                       " ms");
}

} // namespace parsleycove
