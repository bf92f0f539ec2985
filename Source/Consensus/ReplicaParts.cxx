// The parts of a replica, and the dispatch of messages to them.
#include "Consensus/ReplicaParts.h"

#include <string>
#include <utility>

#include "Consensus/MembershipRules.h"

namespace parsleycove {

Replica::Parts::Parts(const ReplicaOptions& aOptions,
                      RestoredLog aRestored,
                      TimePoint aNow)
  : m_state(aOptions, std::move(aRestored), aNow)
  , m_election(m_state)
  , m_follower(m_state)
  , m_leader(m_state)
{
}

void
Replica::Parts::CheckQuorum(TimePoint aNow)
{
  if (m_state.IsLeader()) {
    m_leader.CheckQuorum(aNow);
  }
}

void
Replica::Parts::Dispatch(TimePoint aNow,
                         std::uint64_t aFrom,
                         const consensus::PeerBodyUnion& aBody)
{
  if (const auto* append = aBody.AsAppend()) {
    m_follower.OnAppend(aNow, aFrom, *append);
  } else if (const auto* chunk = aBody.AsInstallSnapshot()) {
    m_follower.OnInstallSnapshot(aNow, aFrom, *chunk);
  } else if (const auto* readReply = aBody.AsReadIndexReply()) {
    m_follower.OnReadIndexReply(aFrom, *readReply);
  } else if (const auto* read = aBody.AsReadIndex()) {
    OnReadIndex(aNow, aFrom, *read);
  } else if (m_state.IsLeader()) {
    DispatchToLeader(aNow, aFrom, aBody);
  }
  DispatchElection(aNow, aFrom, aBody);
}

void
Replica::Parts::DispatchElection(TimePoint aNow,
                                 std::uint64_t aFrom,
                                 const consensus::PeerBodyUnion& aBody)
{
  if (const auto* preVote = aBody.AsPreVote()) {
    m_election.OnPreVote(aNow, aFrom, *preVote);
  } else if (const auto* preVoteReply = aBody.AsPreVoteReply()) {
    m_election.OnPreVoteReply(aNow, aFrom, *preVoteReply);
  } else if (const auto* vote = aBody.AsVote()) {
    m_election.OnVote(aNow, aFrom, *vote);
  } else if (const auto* voteReply = aBody.AsVoteReply()) {
    m_election.OnVoteReply(aNow, aFrom, *voteReply);
    StartLeadingIfWon(aNow);
  }
}

void
Replica::Parts::DispatchToLeader(TimePoint aNow,
                                 std::uint64_t aFrom,
                                 const consensus::PeerBodyUnion& aBody)
{
  if (const auto* appendReply = aBody.AsAppendReply()) {
    m_leader.OnAppendReply(aNow, aFrom, *appendReply);
  } else if (const auto* chunkReply = aBody.AsInstallSnapshotReply()) {
    m_leader.OnInstallSnapshotReply(aNow, aFrom, *chunkReply);
  }
}

void
Replica::Parts::OnReadIndex(TimePoint aNow,
                            std::uint64_t aFrom,
                            const consensus::ReadIndexT& aBody)
{
  if (!m_state.IsLeader() || !FindMember(m_state.m_members.Latest(), aFrom)) {
    consensus::ReadIndexReplyT refusal;
    refusal.id = aBody.id;
    m_state.SendImmediately(aFrom, refusal);
    return;
  }
  m_state.m_out.m_reports.push_back({ aFrom, aBody });
  m_leader.Read(aNow, aFrom, aBody.id, aNow);
}

void
Replica::Parts::StartLeadingIfWon(TimePoint aNow)
{
  if (m_election.IsWon()) {
    m_leader.Start(aNow);
  }
}

std::optional<ReplicaReason>
Replica::Parts::FindCommandRejection(std::size_t aBytes) const
{
  const ReplicaOptions& options = m_state.m_options;
  const std::size_t held = m_state.m_log.CountUncommittedBytes();
  const bool isLarge = aBytes > options.m_maxAppendBytes;
  const std::size_t limit =
    isLarge ? options.m_maxUncommittedBytes / 2 : options.m_maxUncommittedBytes;
  // Otherwise small commands that always follow one another would keep out a
  // command above the limit for good.
  if (held <= options.m_maxAppendBytes || held + aBytes <= limit) {
    return std::nullopt;
  }
  return ReplicaReason{ ReplicaError::Full,
                        "the log has " + std::to_string(held) +
                          " bytes that are not committed, a command of " +
                          std::to_string(aBytes) + " bytes is taken up to " +
                          std::to_string(limit) };
}

std::optional<ReplicaReason>
Replica::Parts::FindChangeRejection(TimePoint aNow,
                                    const consensus::MembershipT& aNext) const
{
  const consensus::MembershipT& current = m_state.m_members.Latest();
  const auto notNow = [](std::string aText) {
    return ReplicaReason{ ReplicaError::NotNow, std::move(aText) };
  };
  if (!m_state.IsLeader()) {
    return ReplicaReason{ ReplicaError::NotLeader,
                          "this replica is not the leader" };
  }
  if (!m_leader.HasCommittedCurrentTerm()) {
    return notNow("membership: no entry of this term is committed yet");
  }
  if (m_state.m_members.LatestIndex() > m_state.m_log.CommitIndex()) {
    return notNow("membership: another change is under way");
  }
  if (auto fault = FindChangeFault(current, aNext)) {
    return ReplicaReason{ ReplicaError::Invalid, std::move(*fault) };
  }
  // A lost voter only raises the majority, so it may go whatever its zone.
  if (m_leader.HasAnswered(aNow, FindRemovedVoter(current, aNext))) {
    if (auto fault = FindSpreadFault(current, aNext)) {
      return ReplicaReason{ ReplicaError::Invalid, std::move(*fault) };
    }
  }
  const std::uint64_t promoted = FindPromoted(current, aNext);
  if (promoted != 0 && MatchIndex(promoted) < m_state.m_log.CommitIndex()) {
    return notNow("membership: replica " + std::to_string(promoted) +
                  " has not stored all committed entries");
  }
  if (!m_leader.HasLiveQuorum(aNow, aNext)) {
    return notNow("membership: no quorum of the voters that would remain "
                  "gave an answer within an election timeout");
  }
  return std::nullopt;
}

std::uint64_t
Replica::Parts::MatchIndex(std::uint64_t aReplica) const
{
  if (!m_state.IsLeader()) {
    return 0;
  }
  if (aReplica == m_state.Self()) {
    return m_state.m_log.PersistedIndex();
  }
  const Progress* progress = m_leader.Find(aReplica);
  return progress ? progress->m_match : 0;
}

} // namespace parsleycove
