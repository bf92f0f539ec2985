// A leader's knowledge of all members, and what a quorum of them says.
#include "Consensus/ReplicationTracker.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

// Returns the highest value that a quorum of voters has reached.
template<typename Value, typename ValueOf>
Value
QuorumValue(const consensus::MembershipT& aMembership,
            Value aLowest,
            ValueOf aValueOf)
{
  std::vector<Value> values;
  for (const auto& member : aMembership.members) {
    if (member->voter) {
      values.push_back(aValueOf(member->replica));
    }
  }
  if (values.empty()) {
    return aLowest;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[QuorumSize(aMembership) - 1];
}

} // namespace

void
ReplicationTracker::UpdateMembers(const consensus::MembershipT& aMembership,
                                  std::uint64_t aNext)
{
  std::erase_if(m_members, [&](const Progress& aProgress) {
    return !FindMember(aMembership, aProgress.m_replica);
  });
  for (const auto& member : aMembership.members) {
    if (member->replica != m_self && !Find(member->replica)) {
      m_members.emplace_back(member->replica, aNext);
    }
  }
}

Progress*
ReplicationTracker::Find(std::uint64_t aReplica)
{
  return const_cast<Progress*>(std::as_const(*this).Find(aReplica));
}

const Progress*
ReplicationTracker::Find(std::uint64_t aReplica) const
{
  for (const Progress& progress : m_members) {
    if (progress.m_replica == aReplica) {
      return &progress;
    }
  }
  return nullptr;
}

std::uint64_t
ReplicationTracker::QuorumMatch(const consensus::MembershipT& aMembership,
                                std::uint64_t aOwnMatch) const
{
  return QuorumValue(
    aMembership, std::uint64_t{ 0 }, [&](std::uint64_t aReplica) {
      const Progress* progress = Find(aReplica);
      return progress ? progress->m_match : aOwnMatch;
    });
}

TimePoint
ReplicationTracker::QuorumSentAt(const consensus::MembershipT& aMembership,
                                 TimePoint aNow) const
{
  return QuorumValue(
    aMembership, TimePoint::min(), [&](std::uint64_t aReplica) {
      const Progress* progress = Find(aReplica);
      return progress ? progress->m_ackedSentAt : aNow;
    });
}

std::uint64_t
ReplicationTracker::QuorumProbe(const consensus::MembershipT& aMembership) const
{
  constexpr auto kOwn = std::numeric_limits<std::uint64_t>::max();
  return QuorumValue(
    aMembership, std::uint64_t{ 0 }, [&](std::uint64_t aReplica) {
      const Progress* progress = Find(aReplica);
      return progress ? progress->m_ackedProbe : kOwn;
    });
}

} // namespace parsleycove
