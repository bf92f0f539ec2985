// Pre-votes and votes, for oneself and for others.
#include "Consensus/Election.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"
#include "Consensus/ReplicaState.h"

namespace parsleycove {

void
Election::Tick(TimePoint aNow)
{
  if (m_state.IsLeader() || aNow < m_state.m_electionDeadline) {
    return;
  }
  if (!m_state.IsSelfVoter()) {
    m_state.BecomeFollower(aNow, m_state.m_hard.term, 0);
    m_state.RestartElectionTimer(aNow);
    return;
  }
  StartPreVote(aNow);
}

void
Election::StartPreVote(TimePoint aNow)
{
  m_state.BecomeFollower(aNow, m_state.m_hard.term, 0);
  m_state.m_role = ReplicaRole::PreCandidate;
  m_state.RestartElectionTimer(aNow);
  m_granted = { m_state.Self() };
  if (HasQuorum()) {
    StartVote(aNow);
    return;
  }
  consensus::PreVoteT request;
  request.term = m_state.m_hard.term + 1;
  request.last_index = m_state.m_log.LastIndex();
  request.last_term = m_state.m_log.LastTerm();
  RequestVotes(request, false);
}

void
Election::StartVote(TimePoint aNow)
{
  m_state.m_role = ReplicaRole::Candidate;
  m_state.SetTerm(m_state.m_hard.term + 1, m_state.Self());
  m_state.RestartElectionTimer(aNow);
  m_granted.clear();
  consensus::VoteT request;
  request.term = m_state.m_hard.term;
  request.last_index = m_state.m_log.LastIndex();
  request.last_term = m_state.m_log.LastTerm();
  RequestVotes(request, true);
}

void
Election::OnPreVote(TimePoint aNow,
                    std::uint64_t aFrom,
                    const consensus::PreVoteT& aBody)
{
  consensus::PreVoteReplyT reply;
  reply.granted = !m_state.MustDenyVotes(aNow) &&
                  aBody.term > m_state.m_hard.term &&
                  m_state.m_log.IsUpToDate(aBody.last_index, aBody.last_term);
  reply.term = reply.granted ? aBody.term : m_state.m_hard.term;
  m_state.SendAfterSync(aFrom, reply);
}

void
Election::OnPreVoteReply(TimePoint aNow,
                         std::uint64_t aFrom,
                         const consensus::PreVoteReplyT& aBody)
{
  const std::uint64_t term = m_state.m_hard.term;
  if (!IsVoter(m_state.m_members.Latest(), aFrom)) {
    return;
  }
  if (!aBody.granted && aBody.term > term) {
    m_state.BecomeFollower(aNow, aBody.term, 0);
    return;
  }
  const bool current = m_state.m_role == ReplicaRole::PreCandidate &&
                       aBody.granted && aBody.term == term + 1;
  if (!current) {
    return;
  }
  m_granted.insert(aFrom);
  if (HasQuorum()) {
    StartVote(aNow);
  }
}

void
Election::OnVote(TimePoint aNow,
                 std::uint64_t aFrom,
                 const consensus::VoteT& aBody)
{
  if (m_state.MustDenyVotes(aNow) && aBody.term > m_state.m_hard.term) {
    return;
  }
  if (aBody.term > m_state.m_hard.term) {
    m_state.BecomeFollower(aNow, aBody.term, 0);
  }
  const bool canVote = m_state.m_hard.vote == 0 || m_state.m_hard.vote == aFrom;
  consensus::VoteReplyT reply;
  reply.term = m_state.m_hard.term;
  reply.granted = aBody.term == m_state.m_hard.term && canVote &&
                  !m_state.MustDenyVotes(aNow) &&
                  m_state.m_log.IsUpToDate(aBody.last_index, aBody.last_term);
  if (reply.granted && m_state.m_hard.vote == 0) {
    m_state.SetTerm(m_state.m_hard.term, aFrom);
  }
  if (reply.granted) {
    m_state.RestartElectionTimer(aNow);
  }
  m_state.SendAfterSync(aFrom, reply);
}

void
Election::OnVoteReply(TimePoint aNow,
                      std::uint64_t aFrom,
                      const consensus::VoteReplyT& aBody)
{
  if (!IsVoter(m_state.m_members.Latest(), aFrom)) {
    return;
  }
  if (aBody.term > m_state.m_hard.term) {
    m_state.BecomeFollower(aNow, aBody.term, 0);
    return;
  }
  const bool current = m_state.m_role == ReplicaRole::Candidate &&
                       aBody.granted && aBody.term == m_state.m_hard.term;
  if (current) {
    m_granted.insert(aFrom);
  }
}

void
Election::OnPersisted()
{
  const bool stored = !m_state.m_hardChanged;
  if (m_state.m_role == ReplicaRole::Candidate && stored) {
    m_granted.insert(m_state.Self());
  }
}

bool
Election::IsWon() const
{
  return m_state.m_role == ReplicaRole::Candidate && HasQuorum();
}

bool
Election::HasQuorum() const
{
  const auto& members = m_state.m_members.Latest();
  const auto votes = std::count_if(
    m_granted.begin(), m_granted.end(), [&](std::uint64_t aReplica) {
      return IsVoter(members, aReplica);
    });
  return static_cast<std::size_t>(votes) >= QuorumSize(members);
}

template<typename Body>
void
Election::RequestVotes(const Body& aBody, bool aAfterSync)
{
  for (const auto& member : m_state.m_members.Latest().members) {
    if (!member->voter || member->replica == m_state.Self()) {
      continue;
    }
    if (aAfterSync) {
      m_state.SendAfterSync(member->replica, aBody);
    } else {
      m_state.SendImmediately(member->replica, aBody);
    }
  }
}

} // namespace parsleycove
