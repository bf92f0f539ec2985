// Decides when the group of replicas needs another voter and which member to
// remove.
#include "Control/MembershipRepair.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

// A learner gets a longer time-out than a voter, since it may be installing a
// snapshot.
constexpr std::chrono::seconds kLearnerTimeoutS{ 9 };
// A learner is promoted only if its last message is at most this share of the
// time-out old: a lost learner with a vote would only raise the majority.
constexpr int kPromotionShare = 3;
// The loss of a zone ends a smaller group in any case.
constexpr std::size_t kMinSpreadVoters = 3;

} // namespace

MembershipRepair::MembershipRepair(const MembershipRepairOptions& aOptions)
  : m_options(aOptions)
{
}

void
MembershipRepair::Start(TimePoint aNow)
{
  m_startedAt = aNow;
  m_lastMessageAt.clear();
  m_memberSince.clear();
}

void
MembershipRepair::UpdateMembers(TimePoint aNow,
                                const consensus::MembershipT& aMembers)
{
  std::erase_if(m_memberSince, [&](const auto& aEntry) {
    return FindMember(aMembers, aEntry.first) == nullptr;
  });
  for (const auto& member : aMembers.members) {
    m_memberSince.try_emplace(member->replica, aNow);
  }
}

void
MembershipRepair::RecordMessage(TimePoint aNow, std::uint64_t aReplica)
{
  m_lastMessageAt[aReplica] = aNow;
}

Duration
MembershipRepair::TimeSinceMessage(TimePoint aNow, std::uint64_t aReplica) const
{
  TimePoint since = m_startedAt;
  for (const auto* times : { &m_memberSince, &m_lastMessageAt }) {
    if (const auto found = times->find(aReplica); found != times->end()) {
      since = std::max(since, found->second);
    }
  }
  return aNow - since;
}

std::string
MembershipRepair::DescribeLoss(TimePoint aNow,
                               const consensus::MembershipT& aMembers,
                               std::uint64_t aReplica,
                               std::uint64_t aSelf) const
{
  const auto silentMs = std::chrono::duration_cast<std::chrono::milliseconds>(
    TimeSinceMessage(aNow, aReplica));
  std::string text = "silent for " + std::to_string(silentMs.count()) + " ms";
  const consensus::MemberT* member = FindMember(aMembers, aReplica);
  if (member != nullptr && IsSuperseded(aNow, aMembers, *member, aSelf)) {
    text += ", and another member runs at its address";
  }
  return text;
}

std::vector<std::uint64_t>
MembershipRepair::ListHeard(TimePoint aNow, Duration aWithin) const
{
  std::vector<std::uint64_t> replicas;
  for (const auto& [replica, at] : m_lastMessageAt) {
    if (aNow - at < aWithin) {
      replicas.push_back(replica);
    }
  }
  return replicas;
}

bool
MembershipRepair::IsComplete(const consensus::MembershipT& aMembers) const
{
  return CountVoters(aMembers) == m_options.m_targetVoters &&
         aMembers.members.size() == m_options.m_targetVoters;
}

bool
MembershipRepair::IsUnresponsive(TimePoint aNow,
                                 const consensus::MemberT& aMember) const
{
  const Duration timeout =
    aMember.voter ? m_options.m_memberTimeout : Duration(kLearnerTimeoutS);
  return TimeSinceMessage(aNow, aMember.replica) >= timeout;
}

bool
MembershipRepair::IsSuperseded(TimePoint aNow,
                               const consensus::MembershipT& aMembers,
                               const consensus::MemberT& aMember,
                               std::uint64_t aSelf) const
{
  const Duration silent = TimeSinceMessage(aNow, aMember.replica);
  return std::any_of(
    aMembers.members.begin(), aMembers.members.end(), [&](const auto& aOther) {
      const bool isHeard = aOther->replica == aSelf ||
                           (m_lastMessageAt.contains(aOther->replica) &&
                            TimeSinceMessage(aNow, aOther->replica) < silent);
      return isHeard && aOther->replica != aMember.replica &&
             !aMember.address.empty() && aOther->address == aMember.address &&
             aOther->port == aMember.port;
    });
}

bool
MembershipRepair::IsLost(TimePoint aNow,
                         const consensus::MembershipT& aMembers,
                         const consensus::MemberT& aMember,
                         std::uint64_t aSelf) const
{
  return aMember.replica != aSelf &&
         (IsUnresponsive(aNow, aMember) ||
          IsSuperseded(aNow, aMembers, aMember, aSelf));
}

bool
MembershipRepair::NeedsVoter(TimePoint aNow,
                             const consensus::MembershipT& aMembers,
                             std::uint64_t aSelf) const
{
  if (m_options.m_targetVoters == 0 ||
      CountVoters(aMembers) < m_options.m_targetVoters) {
    return true;
  }
  // Allows one voter more than the target at most. The lost voter is removed
  // next.
  return CountVoters(aMembers) == m_options.m_targetVoters &&
         std::any_of(aMembers.members.begin(),
                     aMembers.members.end(),
                     [&](const auto& aMember) {
                       return aMember->voter &&
                              IsLost(aNow, aMembers, *aMember, aSelf);
                     });
}

std::vector<std::uint64_t>
MembershipRepair::ListLostVoters(TimePoint aNow,
                                 const consensus::MembershipT& aMembers,
                                 std::uint64_t aSelf) const
{
  std::vector<std::uint64_t> replicas;
  for (const auto& member : aMembers.members) {
    if (member->voter && IsLost(aNow, aMembers, *member, aSelf)) {
      replicas.push_back(member->replica);
    }
  }
  return replicas;
}

std::vector<std::uint64_t>
MembershipRepair::ListMembersToRemove(TimePoint aNow,
                                      const consensus::MembershipT& aMembers,
                                      std::uint64_t aSelf) const
{
  std::vector<std::uint64_t> replicas;
  if (m_options.m_targetVoters == 0) {
    return replicas;
  }
  for (const auto& member : aMembers.members) {
    const bool isRemovable = !member->voter || HasSpareVoter(aMembers);
    if (isRemovable && IsLost(aNow, aMembers, *member, aSelf)) {
      replicas.push_back(member->replica);
    }
  }
  // A voter that is only silent may still hold its disk and come back.
  std::stable_partition(
    replicas.begin(), replicas.end(), [&](std::uint64_t aReplica) {
      return IsSuperseded(
        aNow, aMembers, *FindMember(aMembers, aReplica), aSelf);
    });
  return replicas;
}

bool
MembershipRepair::HasSpareVoter(const consensus::MembershipT& aMembers) const
{
  return CountVoters(aMembers) > m_options.m_targetVoters;
}

std::optional<std::string>
MembershipRepair::FindCrowdedZone(TimePoint aNow,
                                  const consensus::MembershipT& aMembers,
                                  std::uint64_t aSelf) const
{
  if (m_options.m_targetVoters < kMinSpreadVoters ||
      CountVoters(aMembers) < m_options.m_targetVoters) {
    return std::nullopt;
  }
  const std::string* crowded = nullptr;
  for (const auto& member : aMembers.members) {
    if (!member->voter) {
      continue;
    }
    if (member->replica != aSelf && !IsResponsive(aNow, member->replica)) {
      return std::nullopt;
    }
    if (!member->zone.empty() &&
        CountVotersOfZone(aMembers, member->zone) >= MajorityOfTarget()) {
      crowded = &member->zone;
    }
  }
  return crowded == nullptr ? std::nullopt : std::optional(*crowded);
}

bool
MembershipRepair::HasRoom(const consensus::MembershipT& aMembers,
                          const std::string& aZone) const
{
  return !aZone.empty() &&
         CountVotersOfZone(aMembers, aZone) + 1 < MajorityOfTarget();
}

bool
MembershipRepair::IsResponsive(TimePoint aNow, std::uint64_t aReplica) const
{
  return TimeSinceMessage(aNow, aReplica) <
         m_options.m_memberTimeout / kPromotionShare;
}

} // namespace parsleycove
