// What a follower does: takes entries and snapshots from its leader.
#include "Consensus/FollowerRole.h"

#include <algorithm>

#include "Consensus/ReplicaState.h"

namespace parsleycove {

namespace {

// The log's indices must never get a gap, whatever a message says.
bool
IsContiguous(const consensus::AppendT& aBody)
{
  std::uint64_t expected = aBody.previous_index;
  for (const auto& entry : aBody.entries) {
    ++expected;
    if (!entry || entry->index != expected) {
      return false;
    }
  }
  return true;
}

} // namespace

void
FollowerRole::OnAppend(TimePoint aNow,
                       std::uint64_t aFrom,
                       const consensus::AppendT& aBody)
{
  if (!IsContiguous(aBody) || !FollowLeader(aNow, aFrom, aBody.term)) {
    return;
  }
  consensus::AppendReplyT reply;
  reply.term = m_state.m_hard.term;
  reply.probe = aBody.probe;
  if (m_receiver.IsInstalling()) {
    // The log is about to be replaced; nothing may be promised on it.
    reply.success = true;
    m_state.SendAfterSync(aFrom, reply);
    return;
  }
  if (const auto matched = MergeEntries(aBody)) {
    reply.success = true;
    reply.match_index = *matched;
    m_state.m_log.AdvanceCommitIndex(std::min(aBody.commit, *matched));
  } else {
    reply.hint_index = m_state.m_log.ConflictHint(aBody.previous_index);
  }
  m_state.SendAfterSync(aFrom, reply);
}

bool
FollowerRole::FollowLeader(TimePoint aNow,
                           std::uint64_t aFrom,
                           std::uint64_t aTerm)
{
  if (aTerm < m_state.m_hard.term) {
    RejectStaleTerm(aFrom);
    return false;
  }
  m_state.BecomeFollower(aNow, aTerm, aFrom);
  m_state.RecordLeaderContact(aNow);
  return true;
}

void
FollowerRole::RejectStaleTerm(std::uint64_t aTo)
{
  consensus::AppendReplyT reply;
  reply.term = m_state.m_hard.term;
  reply.hint_index = m_state.m_log.LastIndex();
  m_state.SendAfterSync(aTo, reply);
}

std::optional<std::uint64_t>
FollowerRole::MergeEntries(const consensus::AppendT& aBody)
{
  const RaftLog& log = m_state.m_log;
  const std::uint64_t commit = log.CommitIndex();
  const std::uint64_t last = aBody.previous_index + aBody.entries.size();
  if (aBody.previous_index >= commit &&
      log.TermAt(aBody.previous_index) != aBody.previous_term) {
    return std::nullopt;
  }
  for (const auto& entry : aBody.entries) {
    if (entry->index > commit) {
      MergeEntry(*entry);
    }
  }
  return std::max(last, commit);
}

void
FollowerRole::MergeEntry(const consensus::EntryT& aEntry)
{
  const auto term = m_state.m_log.TermAt(aEntry.index);
  if (term == aEntry.term) {
    return;
  }
  if (term) {
    m_state.TruncateFrom(aEntry.index);
  }
  m_state.AppendEntry(aEntry);
}

void
FollowerRole::OnInstallSnapshot(TimePoint aNow,
                                std::uint64_t aFrom,
                                const consensus::InstallSnapshotT& aBody)
{
  if (!aBody.meta || !FollowLeader(aNow, aFrom, aBody.term)) {
    return;
  }
  const std::uint64_t index = aBody.meta->index;
  RaftLog& log = m_state.m_log;
  const bool held =
    index <= log.CommitIndex() || log.TermAt(index) == aBody.meta->term;
  if (held && !m_receiver.IsInstalling()) {
    log.AdvanceCommitIndex(index);
    m_receiver.Reset();
    ReplySnapshot(aFrom, index, 0, true);
    return;
  }
  const ChunkResult result = m_receiver.Receive(aBody);
  if (result == ChunkResult::Busy) {
    return;
  }
  if (result != ChunkResult::OutOfOrder) {
    m_state.m_out.m_chunks.push_back({ aFrom, aBody });
  }
  if (result != ChunkResult::Last) {
    ReplySnapshot(aFrom, index, m_receiver.NextOffset(), false);
  }
}

void
FollowerRole::SnapshotInstalled(consensus::SnapshotMetaT aMeta)
{
  m_receiver.Reset();
  if (aMeta.index <= m_state.m_log.CommitIndex()) {
    return;
  }
  m_state.m_log.Reset(aMeta.index, aMeta.term);
  m_state.m_members.Reset(aMeta.index,
                          aMeta.membership ? std::move(*aMeta.membership)
                                           : consensus::MembershipT{});
  if (m_state.m_leader != 0) {
    ReplySnapshot(m_state.m_leader, aMeta.index, 0, true);
  }
}

void
FollowerRole::SnapshotRejected()
{
  m_receiver.Reset();
}

void
FollowerRole::Read(TimePoint aNow, consensus::ReadIndexT aRequest)
{
  if (m_state.m_leader == 0) {
    m_state.m_out.m_reads.push_back({ aRequest.id, 0, false, aNow });
    return;
  }
  aRequest.id = m_state.m_reads.Forward(aRequest.id, aNow);
  m_state.SendImmediately(m_state.m_leader, std::move(aRequest));
}

void
FollowerRole::OnReadIndexReply(std::uint64_t aFrom,
                               const consensus::ReadIndexReplyT& aBody)
{
  if (aFrom != m_state.m_leader) {
    return;
  }
  if (const auto read = m_state.m_reads.TakeForwarded(aBody.id)) {
    m_state.m_out.m_reads.push_back(
      { read->m_id, aBody.index, aBody.ok, read->m_requestedAt });
  }
}

void
FollowerRole::ReplySnapshot(std::uint64_t aTo,
                            std::uint64_t aIndex,
                            std::uint64_t aNextOffset,
                            bool aDone)
{
  consensus::InstallSnapshotReplyT reply;
  reply.term = m_state.m_hard.term;
  reply.index = aIndex;
  reply.next_offset = aNextOffset;
  reply.done = aDone;
  m_state.SendAfterSync(aTo, reply);
}

} // namespace parsleycove
