// Decides when the group of replicas needs another voter, and which member it
// can do without.
#include "Control/MembershipRepair.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

// A learner that never caught up is given more time than a voter: it may be
// reading a snapshot.
constexpr int kLearnerPatience = 3;

} // namespace

MembershipRepair::MembershipRepair(const MembershipRepairOptions& aOptions)
  : m_options(aOptions)
{
}

void
MembershipRepair::Start(TimePoint aNow)
{
  m_startedAt = aNow;
  m_heardAt.clear();
}

void
MembershipRepair::NoteHeard(TimePoint aNow, std::uint64_t aReplica)
{
  m_heardAt[aReplica] = aNow;
}

Duration
MembershipRepair::SilentFor(TimePoint aNow, std::uint64_t aReplica) const
{
  const auto heard = m_heardAt.find(aReplica);
  return aNow - (heard == m_heardAt.end() ? m_startedAt : heard->second);
}

std::int64_t
MembershipRepair::SilentMs(TimePoint aNow, std::uint64_t aReplica) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           SilentFor(aNow, aReplica))
    .count();
}

bool
MembershipRepair::IsSilent(TimePoint aNow,
                           const consensus::MemberT& aMember,
                           std::uint64_t aSelf) const
{
  const Duration patience =
    m_options.m_silence * (aMember.voter ? 1 : kLearnerPatience);
  return aMember.replica != aSelf &&
         SilentFor(aNow, aMember.replica) >= patience;
}

bool
MembershipRepair::WantsVoter(TimePoint aNow,
                             const consensus::MembershipT& aMembers,
                             std::uint64_t aSelf) const
{
  if (m_options.m_targetVoters == 0 ||
      CountVoters(aMembers) < m_options.m_targetVoters) {
    return true;
  }
  // One voter more than the target at most: the lost one goes next.
  return CountVoters(aMembers) == m_options.m_targetVoters &&
         std::any_of(aMembers.members.begin(),
                     aMembers.members.end(),
                     [&](const auto& aMember) {
                       return aMember->voter && IsSilent(aNow, *aMember, aSelf);
                     });
}

std::uint64_t
MembershipRepair::FindLost(TimePoint aNow,
                           const consensus::MembershipT& aMembers,
                           std::uint64_t aSelf) const
{
  if (m_options.m_targetVoters == 0) {
    return 0;
  }
  const bool hasSpareVoter = CountVoters(aMembers) > m_options.m_targetVoters;
  for (const auto& member : aMembers.members) {
    const bool isDispensable = !member->voter || hasSpareVoter;
    if (isDispensable && IsSilent(aNow, *member, aSelf)) {
      return member->replica;
    }
  }
  return 0;
}

} // namespace parsleycove
