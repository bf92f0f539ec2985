// Describes the changes of the group's members and a group below its target,
// for the log and the metrics.
#include "Control/MembershipReport.h"

#include <algorithm>
#include <utility>

#include "Base/SocketAddress.h"

namespace parsleycove {

namespace {

std::int64_t
ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

// How many of the voters that run may be lost at once with a majority left.
std::size_t
BearableLosses(std::size_t aVoters, std::size_t aRunning)
{
  const std::size_t majority = aVoters / 2 + 1;
  return aRunning > majority ? aRunning - majority : 0;
}

} // namespace

MembershipReport::Members
MembershipReport::ListMembers(TimePoint aNow,
                              const consensus::MembershipT& aMembers)
{
  Members members;
  for (const auto& member : aMembers.members) {
    members[member->replica] = {
      member->vm,
      SocketAddress{ member->address, member->port }.ToString(),
      member->voter,
      aNow
    };
  }
  return members;
}

void
MembershipReport::Start(TimePoint aNow, const consensus::MembershipT& aMembers)
{
  m_members = ListMembers(aNow, aMembers);
}

void
MembershipReport::SetEvidence(std::uint64_t aReplica, std::string aEvidence)
{
  m_evidenceFor = aReplica;
  m_evidence = std::move(aEvidence);
}

std::vector<std::string>
MembershipReport::Update(TimePoint aNow, const consensus::MembershipT& aMembers)
{
  Members before = std::exchange(m_members, ListMembers(aNow, aMembers));
  std::vector<std::string> lines;
  for (auto& [replica, member] : m_members) {
    const auto found = before.find(replica);
    const Member* old = found == before.end() ? nullptr : &found->second;
    if (old != nullptr && old->m_voter == member.m_voter) {
      member.m_since = old->m_since;
    }
    if (old == nullptr || old->m_voter != member.m_voter ||
        old->m_address != member.m_address) {
      lines.push_back(DescribeChange(replica, old, &member));
    }
  }
  for (const auto& [replica, member] : before) {
    if (!m_members.contains(replica)) {
      lines.push_back(DescribeChange(replica, &member, nullptr));
    }
  }
  if (!lines.empty()) {
    m_evidenceFor = 0;
  }
  return lines;
}

std::string
MembershipReport::DescribeChange(std::uint64_t aReplica,
                                 const Member* aBefore,
                                 const Member* aAfter) const
{
  const auto describe = [](const Member* aMember) -> std::string {
    if (aMember == nullptr) {
      return "no member";
    }
    return std::string(aMember->m_voter ? "voter" : "learner") + " at " +
           aMember->m_address;
  };
  const Member& known = aAfter != nullptr ? *aAfter : *aBefore;
  return "member " + std::to_string(aReplica) + " on VM \"" + known.m_vm +
         "\": " + describe(aBefore) + " -> " + describe(aAfter) +
         "; evidence: " +
         (m_evidenceFor == aReplica ? m_evidence : "the leader's log") +
         "; voters " + std::to_string(CountVoters()) + ", target " +
         std::to_string(m_target);
}

std::string
MembershipReport::DescribeShortage(TimePoint aNow,
                                   const std::vector<std::uint64_t>& aSilent,
                                   const std::string& aRefusal) const
{
  // A silent voter beyond the target counts too: it raises the majority.
  const bool isBelow =
    CountVoters() < m_target + aSilent.size() ||
    CountBearableLosses(aSilent.size()) < BearableLosses(m_target, m_target);
  if (m_target == 0 || !isBelow) {
    return {};
  }
  std::string silent;
  for (const std::uint64_t replica : aSilent) {
    silent += " " + std::to_string(replica);
  }
  std::string withoutVote;
  for (const auto& [replica, member] : m_members) {
    if (!member.m_voter) {
      withoutVote += " " + std::to_string(replica) + " for " +
                     std::to_string(ToMs(aNow - member.m_since)) + " ms";
    }
  }
  return "the group is below its target: voters " +
         std::to_string(CountVoters()) + ", target " +
         std::to_string(m_target) +
         "; silent voters:" + (silent.empty() ? " none" : silent) +
         "; members without a vote:" +
         (withoutVote.empty() ? " none" : withoutVote) +
         "; last refused change: " + (aRefusal.empty() ? "none" : aRefusal);
}

std::string
MembershipReport::DescribeWithoutLeader(
  Duration aFor,
  std::uint64_t aTerm,
  const std::vector<std::uint64_t>& aHeard) const
{
  std::string silent;
  for (const auto& [replica, member] : m_members) {
    const bool heard =
      std::find(aHeard.begin(), aHeard.end(), replica) != aHeard.end();
    if (member.m_voter && !heard) {
      silent += " " + std::to_string(replica) + " at " + member.m_address;
    }
  }
  const std::size_t voters = CountVoters();
  return "no leader for " + std::to_string(ToMs(aFor)) + " ms in term " +
         std::to_string(aTerm) + ": voters " + std::to_string(voters) +
         ", needed " + std::to_string(voters / 2 + 1) + ", heard from " +
         std::to_string(CountVotersAmong(aHeard)) +
         "; silent voters:" + (silent.empty() ? " none" : silent);
}

std::size_t
MembershipReport::CountVotersAmong(
  const std::vector<std::uint64_t>& aReplicas) const
{
  return std::count_if(
    aReplicas.begin(), aReplicas.end(), [&](std::uint64_t aReplica) {
      const auto found = m_members.find(aReplica);
      return found != m_members.end() && found->second.m_voter;
    });
}

std::size_t
MembershipReport::CountVoters() const
{
  return std::count_if(
    m_members.begin(), m_members.end(), [](const auto& aEntry) {
      return aEntry.second.m_voter;
    });
}

std::size_t
MembershipReport::CountBearableLosses(std::size_t aSilent) const
{
  const std::size_t voters = CountVoters();
  return BearableLosses(voters, voters - std::min(voters, aSilent));
}

std::size_t
MembershipReport::CountWithoutVote() const
{
  return m_members.size() - CountVoters();
}

TimePoint
MembershipReport::OldestWithoutVoteSince() const
{
  TimePoint oldest = TimePoint::max();
  for (const auto& [replica, member] : m_members) {
    oldest = member.m_voter ? oldest : std::min(oldest, member.m_since);
  }
  return oldest;
}

} // namespace parsleycove
