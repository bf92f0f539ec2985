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
FollowerDuty::OnAppend(TimePoint aNow,
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
    m_state.SendStored(aFrom, reply);
    return;
  }
  if (const auto matched = TakeEntries(aBody)) {
    reply.success = true;
    reply.match_index = *matched;
    m_state.m_log.MoveCommit(std::min(aBody.commit, *matched));
  } else {
    reply.hint_index = m_state.m_log.ConflictHint(aBody.previous_index);
  }
  m_state.SendStored(aFrom, reply);
}

bool
FollowerDuty::FollowLeader(TimePoint aNow,
                           std::uint64_t aFrom,
                           std::uint64_t aTerm)
{
  if (aTerm < m_state.m_hard.term) {
    ReplyStale(aFrom);
    return false;
  }
  m_state.BecomeFollower(aNow, aTerm, aFrom);
  m_state.NoteLeaderContact(aNow);
  return true;
}

void
FollowerDuty::ReplyStale(std::uint64_t aTo)
{
  consensus::AppendReplyT reply;
  reply.term = m_state.m_hard.term;
  reply.hint_index = m_state.m_log.LastIndex();
  m_state.SendStored(aTo, reply);
}

std::optional<std::uint64_t>
FollowerDuty::TakeEntries(const consensus::AppendT& aBody)
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
      TakeEntry(*entry);
    }
  }
  return std::max(last, commit);
}

void
FollowerDuty::TakeEntry(const consensus::EntryT& aEntry)
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
FollowerDuty::OnInstallSnapshot(TimePoint aNow,
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
    log.MoveCommit(index);
    m_receiver.Forget();
    ReplySnapshot(aFrom, index, 0, true);
    return;
  }
  const PieceVerdict verdict = m_receiver.Take(aBody);
  if (verdict == PieceVerdict::Busy) {
    return;
  }
  if (verdict != PieceVerdict::OutOfTurn) {
    m_state.m_out.m_chunks.push_back({ aFrom, aBody });
  }
  if (verdict != PieceVerdict::Last) {
    ReplySnapshot(aFrom, index, m_receiver.AwaitedOffset(), false);
  }
}

void
FollowerDuty::SnapshotInstalled(consensus::SnapshotMetaT aMeta)
{
  m_receiver.Forget();
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
FollowerDuty::SnapshotRejected()
{
  m_receiver.Forget();
}

void
FollowerDuty::Read(TimePoint aNow, consensus::ReadIndexT aRequest)
{
  if (m_state.m_leader == 0) {
    m_state.m_out.m_reads.push_back({ aRequest.id, 0, false, aNow });
    return;
  }
  aRequest.id = m_state.m_reads.Forward(aRequest.id, aNow);
  m_state.SendEarly(m_state.m_leader, std::move(aRequest));
}

void
FollowerDuty::OnReadIndexReply(std::uint64_t aFrom,
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
FollowerDuty::ReplySnapshot(std::uint64_t aTo,
                            std::uint64_t aIndex,
                            std::uint64_t aNextOffset,
                            bool aDone)
{
  consensus::InstallSnapshotReplyT reply;
  reply.term = m_state.m_hard.term;
  reply.index = aIndex;
  reply.next_offset = aNextOffset;
  reply.done = aDone;
  m_state.SendStored(aTo, reply);
}

} // namespace parsleycove
