// One member of a Raft group, as a state machine without I/O.
#include "Consensus/Replica.h"

#include <algorithm>
#include <utility>

#include "Consensus/MembershipRules.h"
#include "Consensus/ReplicaParts.h"

namespace parsleycove {

bool
Ready::IsEmpty() const
{
  return !NeedsSync() && m_messages.empty() && m_earlyMessages.empty() &&
         m_committed.empty() && m_reads.empty() && m_reports.empty() &&
         m_chunkRequests.empty() && m_chunks.empty();
}

bool
Ready::NeedsSync() const
{
  return m_hardState.has_value() || !m_entries.empty();
}

Replica::Replica(ReplicaOptions aOptions, RestoredLog aRestored, TimePoint aNow)
  : m_parts(std::make_unique<Parts>(aOptions, std::move(aRestored), aNow))
{
}

Replica::~Replica() = default;

bool
Replica::Bootstrap(consensus::MembershipT aMembership)
{
  ReplicaState& state = m_parts->m_state;
  if (state.m_log.LastIndex() != 0 || state.m_hard.term != 0) {
    m_reason.Set(ReplicaError::Invalid,
                 "bootstrap: this replica already has a term or a log; "
                 "expected a new one");
    return false;
  }
  if (auto fault = FindMembershipFault(aMembership)) {
    m_reason.Set(ReplicaError::Invalid, std::move(*fault));
    return false;
  }
  SortMembers(aMembership);
  state.SetTerm(1, 0);
  consensus::EntryT entry;
  entry.term = 1;
  entry.index = 1;
  entry.kind = consensus::EntryKind::Membership;
  entry.data = EncodeMembership(aMembership);
  state.AppendEntry(std::move(entry));
  return true;
}

void
Replica::Tick(TimePoint aNow)
{
  ReplicaState& state = m_parts->m_state;
  m_parts->CheckQuorum(aNow);
  if (state.IsLeader()) {
    m_parts->m_leader.Tick(aNow);
  }
  m_parts->m_election.Tick(aNow);
  state.FailReads(aNow - state.m_options.m_readTimeout);
}

void
Replica::Step(TimePoint aNow, const consensus::PeerMessageT& aMessage)
{
  const ReplicaState& state = m_parts->m_state;
  const bool forMe = aMessage.cluster == state.m_options.m_cluster &&
                     aMessage.to == state.Self();
  if (!forMe) {
    return;
  }
  m_parts->CheckQuorum(aNow);
  m_parts->Dispatch(aNow, aMessage.from, aMessage.body);
}

std::optional<std::uint64_t>
Replica::Propose(TimePoint aNow, std::vector<std::uint8_t> aCommand)
{
  m_parts->CheckQuorum(aNow);
  if (!m_parts->m_state.IsLeader()) {
    m_reason.Set(ReplicaError::NotLeader, "this replica is not the leader");
    return std::nullopt;
  }
  if (auto rejection = m_parts->FindCommandRejection(aCommand.size())) {
    m_reason = std::move(*rejection);
    return std::nullopt;
  }
  return m_parts->m_leader.Propose(
    aNow, consensus::EntryKind::Command, std::move(aCommand));
}

std::optional<std::uint64_t>
Replica::ProposeMembership(TimePoint aNow, consensus::MembershipT aNext)
{
  m_parts->CheckQuorum(aNow);
  if (auto rejection = m_parts->FindChangeRejection(aNow, aNext)) {
    m_reason = std::move(*rejection);
    return std::nullopt;
  }
  SortMembers(aNext);
  return m_parts->m_leader.Propose(
    aNow, consensus::EntryKind::Membership, EncodeMembership(aNext));
}

bool
Replica::CanChangeMembers() const
{
  const ReplicaState& state = m_parts->m_state;
  return state.IsLeader() && m_parts->m_leader.HasCommittedCurrentTerm() &&
         state.m_members.LatestIndex() <= state.m_log.CommitIndex();
}

void
Replica::ReadIndex(TimePoint aNow, consensus::ReadIndexT aRequest)
{
  m_parts->CheckQuorum(aNow);
  if (m_parts->m_state.IsLeader()) {
    m_parts->m_leader.Read(aNow, 0, aRequest.id, aNow);
  } else {
    m_parts->m_follower.Read(aNow, std::move(aRequest));
  }
}

bool
Replica::HasReady() const
{
  const ReplicaState& state = m_parts->m_state;
  const Ready& out = state.m_out;
  const bool early = !out.m_earlyMessages.empty() || !out.m_reads.empty() ||
                     !out.m_reports.empty() || !out.m_chunkRequests.empty() ||
                     !out.m_chunks.empty() || state.m_log.HasCommitted();
  const bool stored =
    state.m_hardChanged || state.m_log.HasUnstored() || !out.m_messages.empty();
  return early || (stored && !state.m_syncing);
}

Ready
Replica::TakeReady()
{
  ReplicaState& state = m_parts->m_state;
  Ready ready = std::exchange(state.m_out, {});
  ready.m_committed = state.m_log.TakeCommitted();
  if (state.m_syncing) {
    std::swap(state.m_out.m_messages, ready.m_messages);
    return ready;
  }
  if (std::exchange(state.m_hardChanged, false)) {
    ready.m_hardState = state.m_hard;
  }
  ready.m_entries = state.m_log.TakeUnstored();
  state.m_syncing = ready.NeedsSync();
  return ready;
}

void
Replica::Persisted(TimePoint aNow)
{
  ReplicaState& state = m_parts->m_state;
  if (!std::exchange(state.m_syncing, false)) {
    return;
  }
  state.m_log.MarkPersisted();
  m_parts->m_election.OnPersisted();
  m_parts->StartLeadingIfWon(aNow);
  m_parts->CheckQuorum(aNow);
  if (state.IsLeader()) {
    m_parts->m_leader.OnPersisted(aNow);
  }
}

void
Replica::Compact(const consensus::SnapshotMetaT& aMeta)
{
  ReplicaState& state = m_parts->m_state;
  if (aMeta.index > state.m_log.AppliedIndex()) {
    return;
  }
  const ReplicaOptions& options = state.m_options;
  state.m_log.Compact(
    aMeta.index,
    options.m_compactionTailEntries,
    std::max<std::uint64_t>(aMeta.size, options.m_maxAppendBytes));
  state.m_members.Compact(state.m_log.BaseIndex());
}

std::optional<consensus::SnapshotMetaT>
Replica::DescribeSnapshot(std::uint64_t aIndex) const
{
  const ReplicaState& state = m_parts->m_state;
  const auto term = state.m_log.TermAt(aIndex);
  if (!term || aIndex > state.m_log.AppliedIndex()) {
    return std::nullopt;
  }
  consensus::SnapshotMetaT meta;
  meta.index = aIndex;
  meta.term = *term;
  meta.membership =
    std::make_unique<consensus::MembershipT>(state.m_members.At(aIndex));
  return meta;
}

void
Replica::SnapshotInstalled(TimePoint, consensus::SnapshotMetaT aMeta)
{
  m_parts->m_follower.SnapshotInstalled(std::move(aMeta));
}

void
Replica::SnapshotRejected(TimePoint)
{
  m_parts->m_follower.SnapshotRejected();
}

void
Replica::SendSnapshotChunk(std::uint64_t aTo,
                           consensus::InstallSnapshotT aChunk)
{
  ReplicaState& state = m_parts->m_state;
  if (!state.IsLeader()) {
    return;
  }
  aChunk.term = state.m_hard.term;
  state.SendImmediately(aTo, std::move(aChunk));
}

ReplicaRole
Replica::Role() const
{
  return m_parts->m_state.m_role;
}

std::uint64_t
Replica::Leader() const
{
  return m_parts->m_state.m_leader;
}

std::uint64_t
Replica::Term() const
{
  return m_parts->m_state.m_hard.term;
}

std::uint64_t
Replica::CommitIndex() const
{
  return m_parts->m_state.m_log.CommitIndex();
}

std::uint64_t
Replica::LastIndex() const
{
  return m_parts->m_state.m_log.LastIndex();
}

std::size_t
Replica::CountLogBytes() const
{
  return m_parts->m_state.m_log.CountBytes();
}

std::size_t
Replica::CountUncommittedBytes() const
{
  return m_parts->m_state.m_log.CountUncommittedBytes();
}

const consensus::MembershipT&
Replica::Members() const
{
  return m_parts->m_state.m_members.Latest();
}

std::uint64_t
Replica::MatchIndex(std::uint64_t aReplica) const
{
  return m_parts->MatchIndex(aReplica);
}

bool
Replica::HasLeaderLease(TimePoint aNow) const
{
  return m_parts->m_leader.HasLease(aNow);
}

TimePoint
Replica::NextDeadline() const
{
  const ReplicaState& state = m_parts->m_state;
  const TimePoint oldest = state.m_reads.OldestRequestedAt();
  const TimePoint reads = oldest == TimePoint::max()
                            ? oldest
                            : oldest + state.m_options.m_readTimeout;
  const TimePoint role = state.IsLeader() ? m_parts->m_leader.NextDeadline()
                                          : state.m_electionDeadline;
  return std::min(reads, role);
}

} // namespace parsleycove
