// What the parts of a replica share: log, term, role and outgoing work.
#include "Consensus/ReplicaState.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

namespace {

std::uint64_t
MakeSeed(const ReplicaOptions& aOptions)
{
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;
  return (aOptions.m_seed + aOptions.m_replica) * kMultiplier;
}

// Differs between two runs of one replica, as they start at different times.
std::uint64_t
MakeNonce(const ReplicaOptions& aOptions, TimePoint aNow)
{
  const auto since = aNow.time_since_epoch().count();
  return std::mt19937_64(MakeSeed(aOptions) ^ since)();
}

} // namespace

ReplicaState::ReplicaState(const ReplicaOptions& aOptions,
                           RestoredLog aRestored,
                           TimePoint aNow)
  : m_options(aOptions)
  , m_log(aRestored)
  , m_hard(aRestored.m_hardState)
  , m_reads(MakeNonce(aOptions, aNow))
  , m_random(MakeSeed(aOptions))
  , m_denyVotesUntil(aNow + aOptions.m_electionTimeout)
{
  m_hard.replica = m_options.m_replica;
  m_hard.cluster = m_options.m_cluster;
  if (aRestored.m_snapshot && aRestored.m_snapshot->membership) {
    m_members.Add(aRestored.m_snapshot->index,
                  *aRestored.m_snapshot->membership);
  }
  for (std::uint64_t index = m_log.BaseIndex() + 1; index <= m_log.LastIndex();
       ++index) {
    m_members.AddEntry(m_log.At(index));
  }
  RestartElectionTimer(aNow);
}

bool
ReplicaState::IsSelfVoter() const
{
  return IsVoter(m_members.Latest(), Self());
}

bool
ReplicaState::MustDenyVotes(TimePoint aNow) const
{
  return IsLeader() || aNow < m_denyVotesUntil || m_log.LastIndex() == 0;
}

void
ReplicaState::SetTerm(std::uint64_t aTerm, std::uint64_t aVote)
{
  m_hard.term = aTerm;
  m_hard.vote = aVote;
  m_hardChanged = true;
}

void
ReplicaState::BecomeFollower(TimePoint aNow,
                             std::uint64_t aTerm,
                             std::uint64_t aLeader)
{
  const bool newTerm = aTerm > m_hard.term;
  const bool newRole = m_role != ReplicaRole::Follower;
  if (newTerm || newRole || aLeader != m_leader) {
    FailReads(TimePoint::max());
  }
  if (newTerm) {
    SetTerm(aTerm, 0);
  }
  if (newRole) {
    RestartElectionTimer(aNow);
  }
  m_role = ReplicaRole::Follower;
  m_leader = aLeader;
}

void
ReplicaState::RecordLeaderContact(TimePoint aNow)
{
  m_denyVotesUntil =
    std::max(m_denyVotesUntil, aNow + m_options.m_electionTimeout);
  RestartElectionTimer(aNow);
}

void
ReplicaState::RestartElectionTimer(TimePoint aNow)
{
  const auto range = static_cast<std::uint64_t>(
    std::max<Duration::rep>(1, m_options.m_electionTimeout.count()));
  const Duration extra(static_cast<Duration::rep>(m_random() % range));
  m_electionDeadline = aNow + m_options.m_electionTimeout + extra;
}

void
ReplicaState::AppendEntry(consensus::EntryT aEntry)
{
  m_members.AddEntry(aEntry);
  m_log.Append(std::move(aEntry));
}

void
ReplicaState::TruncateFrom(std::uint64_t aIndex)
{
  m_log.TruncateFrom(aIndex);
  m_members.TruncateFrom(aIndex);
}

void
ReplicaState::AnswerRead(const WaitingRead& aRead, bool aOk)
{
  if (aRead.m_from == 0) {
    m_out.m_reads.push_back(
      { aRead.m_id, m_log.CommitIndex(), aOk, aRead.m_requestedAt });
    return;
  }
  consensus::ReadIndexReplyT reply;
  reply.id = aRead.m_id;
  reply.index = m_log.CommitIndex();
  reply.ok = aOk;
  SendImmediately(aRead.m_from, reply);
}

void
ReplicaState::FailReads(TimePoint aRequestedUntil)
{
  for (const WaitingRead& read : m_reads.TakeWaitingUntil(aRequestedUntil)) {
    AnswerRead(read, false);
  }
  for (const auto& read : m_reads.TakeForwardedUntil(aRequestedUntil)) {
    m_out.m_reads.push_back({ read.m_id, 0, false, read.m_requestedAt });
  }
}

} // namespace parsleycove
