// The leader's role: replicates and commits log entries, confirms reads and
// maintains the leader lease.
#include "Consensus/LeaderRole.h"

#include <algorithm>

#include "Consensus/MembershipRules.h"
#include "Consensus/ReplicaState.h"

namespace parsleycove {

LeaderRole::LeaderRole(ReplicaState& aState)
  : m_state(aState)
  , m_snapshots(aState)
  , m_tracker(aState.Self())
{
}

void
LeaderRole::Start(TimePoint aNow)
{
  m_state.m_role = ReplicaRole::Leader;
  m_state.m_leader = m_state.Self();
  m_startedAt = aNow;
  m_nextHeartbeat = aNow + m_state.m_options.m_heartbeatInterval;
  m_tracker.Clear();
  m_tracker.UpdateMembers(m_state.m_members.Latest(),
                          m_state.m_log.LastIndex() + 1);
  m_firstIndex = Propose(aNow, consensus::EntryKind::Empty, {});
}

void
LeaderRole::Tick(TimePoint aNow)
{
  if (aNow < m_nextHeartbeat) {
    return;
  }
  m_nextHeartbeat = aNow + m_state.m_options.m_heartbeatInterval;
  Broadcast(aNow);
}

void
LeaderRole::CheckQuorum(TimePoint aNow)
{
  const TimePoint contact = std::max(
    m_startedAt, m_tracker.QuorumSentAt(m_state.m_members.Latest(), aNow));
  if (aNow - contact > m_state.m_options.m_electionTimeout) {
    m_state.BecomeFollower(aNow, m_state.m_hard.term, 0);
  }
}

bool
LeaderRole::HasLease(TimePoint aNow) const
{
  const TimePoint sentAt =
    m_tracker.QuorumSentAt(m_state.m_members.Latest(), aNow);
  return m_state.IsLeader() && sentAt != TimePoint::min() &&
         aNow < sentAt + m_state.m_options.m_leaderLease;
}

bool
LeaderRole::HasCommittedCurrentTerm() const
{
  return m_state.m_log.CommitIndex() >= m_firstIndex;
}

std::uint64_t
LeaderRole::Propose(TimePoint aNow,
                    consensus::EntryKind aKind,
                    std::vector<std::uint8_t> aData)
{
  consensus::EntryT entry;
  entry.term = m_state.m_hard.term;
  entry.index = m_state.m_log.LastIndex() + 1;
  entry.kind = aKind;
  entry.data = std::move(aData);
  const std::uint64_t index = entry.index;
  m_state.AppendEntry(std::move(entry));
  if (aKind == consensus::EntryKind::Membership) {
    m_tracker.UpdateMembers(m_state.m_members.Latest(), index);
  }
  for (Progress& progress : m_tracker.Members()) {
    Replicate(aNow, progress);
  }
  return index;
}

void
LeaderRole::Read(TimePoint aNow,
                 std::uint64_t aFrom,
                 std::uint64_t aId,
                 TimePoint aRequestedAt)
{
  WaitingRead read{ aFrom, aId, aRequestedAt, 0 };
  if (!HasCommittedCurrentTerm()) {
    m_state.m_reads.Add(read);
    return;
  }
  if (HasLease(aNow)) {
    m_state.AnswerRead(read, true);
    return;
  }
  read.m_probe = m_probe + 1;
  m_state.m_reads.Add(read);
  Broadcast(aNow);
}

void
LeaderRole::OnAppendReply(TimePoint aNow,
                          std::uint64_t aFrom,
                          const consensus::AppendReplyT& aBody)
{
  Progress* progress = m_tracker.Find(aFrom);
  if (!progress) {
    return;
  }
  if (aBody.term > m_state.m_hard.term) {
    m_state.BecomeFollower(aNow, aBody.term, 0);
    return;
  }
  if (aBody.term < m_state.m_hard.term) {
    return;
  }
  progress->RecordAck(aBody.probe);
  if (aBody.success) {
    Accept(*progress, aBody.match_index);
  } else {
    Reject(aNow, *progress, aBody.hint_index);
  }
  AdvanceCommit(aNow);
  if (m_state.IsLeader()) {
    ConfirmReads(aNow);
    Replicate(aNow, *progress);
  }
}

void
LeaderRole::Accept(Progress& aProgress, std::uint64_t aMatch)
{
  aProgress.m_match = std::max(aProgress.m_match, aMatch);
  aProgress.m_next = std::max(aProgress.m_next, aProgress.m_match + 1);
  const bool inSnapshot = aProgress.m_state == ProgressState::Snapshot;
  if (inSnapshot && aProgress.m_match < aProgress.m_snapshotIndex) {
    return;
  }
  if (aProgress.m_state != ProgressState::Replicate) {
    aProgress.m_state = ProgressState::Replicate;
    aProgress.m_next = aProgress.m_match + 1;
  }
  aProgress.m_paused = false;
}

void
LeaderRole::Reject(TimePoint aNow, Progress& aProgress, std::uint64_t aHint)
{
  const bool stale = aHint < aProgress.m_match || aHint + 1 > aProgress.m_next;
  if (stale || aProgress.m_state == ProgressState::Snapshot) {
    return;
  }
  aProgress.m_state = ProgressState::Probe;
  aProgress.m_next = aHint + 1;
  aProgress.m_paused = false;
  Replicate(aNow, aProgress);
}

void
LeaderRole::OnInstallSnapshotReply(
  TimePoint aNow,
  std::uint64_t aFrom,
  const consensus::InstallSnapshotReplyT& aBody)
{
  Progress* progress = m_tracker.Find(aFrom);
  if (!progress || aBody.term < m_state.m_hard.term) {
    return;
  }
  if (aBody.term > m_state.m_hard.term) {
    m_state.BecomeFollower(aNow, aBody.term, 0);
    return;
  }
  if (aBody.done) {
    progress->m_state = ProgressState::Probe;
    Accept(*progress, aBody.index);
    AdvanceCommit(aNow);
    Replicate(aNow, *progress);
    return;
  }
  m_snapshots.Continue(aNow, *progress, aBody.index, aBody.next_offset);
}

void
LeaderRole::OnPersisted(TimePoint aNow)
{
  AdvanceCommit(aNow);
}

const Progress*
LeaderRole::Find(std::uint64_t aReplica) const
{
  return m_tracker.Find(aReplica);
}

bool
LeaderRole::HasAnswered(TimePoint aNow, std::uint64_t aReplica) const
{
  if (aReplica == m_state.Self()) {
    return true;
  }
  const Progress* progress = Find(aReplica);
  return progress != nullptr && progress->m_ackedSentAt != TimePoint::min() &&
         aNow - progress->m_ackedSentAt <= m_state.m_options.m_electionTimeout;
}

bool
LeaderRole::HasLiveQuorum(TimePoint aNow,
                          const consensus::MembershipT& aMembership) const
{
  const TimePoint sentAt = m_tracker.QuorumSentAt(aMembership, aNow);
  return sentAt != TimePoint::min() &&
         aNow - sentAt <= m_state.m_options.m_electionTimeout;
}

TimePoint
LeaderRole::NextDeadline() const
{
  return m_nextHeartbeat;
}

void
LeaderRole::Broadcast(TimePoint aNow)
{
  for (Progress& progress : m_tracker.Members()) {
    progress.m_paused = false;
    SendHeartbeat(aNow, progress);
  }
}

void
LeaderRole::SendHeartbeat(TimePoint aNow, Progress& aProgress)
{
  if (aProgress.m_state != ProgressState::Snapshot) {
    SendAppend(aNow, aProgress, true);
    return;
  }
  consensus::AppendT heartbeat;
  heartbeat.term = m_state.m_hard.term;
  heartbeat.probe = ++m_probe;
  aProgress.RecordSent(m_probe, aNow, 0, 0);
  m_state.SendImmediately(aProgress.m_replica, std::move(heartbeat));
  m_snapshots.RetryIfLate(aNow, aProgress);
}

void
LeaderRole::Replicate(TimePoint aNow, Progress& aProgress)
{
  while (SendAppend(aNow, aProgress, false)) {
  }
}

bool
LeaderRole::SendAppend(TimePoint aNow, Progress& aProgress, bool aAllowEmpty)
{
  const RaftLog& log = m_state.m_log;
  if (aProgress.m_state == ProgressState::Snapshot || aProgress.m_paused) {
    return false;
  }
  const auto previousTerm = log.TermAt(aProgress.m_next - 1);
  if (!previousTerm) {
    m_snapshots.Start(aNow, aProgress);
    return false;
  }
  consensus::AppendT append;
  const ReplicaOptions& options = m_state.m_options;
  const bool full =
    aProgress.CountInflight() >= options.m_maxInflightAppends ||
    aProgress.CountInflightBytes() >= options.m_maxInflightBytes;
  std::size_t bytes = 0;
  if (!full) {
    for (auto& entry : log.Slice(aProgress.m_next, options.m_maxAppendBytes)) {
      bytes += entry.data.size();
      append.entries.push_back(
        std::make_unique<consensus::EntryT>(std::move(entry)));
    }
  }
  const std::size_t count = append.entries.size();
  const bool newCommit = aProgress.m_sentCommit < log.CommitIndex();
  if (count == 0 && !aAllowEmpty && !newCommit) {
    return false;
  }
  append.term = m_state.m_hard.term;
  append.previous_index = aProgress.m_next - 1;
  append.previous_term = *previousTerm;
  append.commit = log.CommitIndex();
  append.probe = ++m_probe;
  aProgress.RecordSent(m_probe, aNow, count, bytes);
  aProgress.m_sentCommit = log.CommitIndex();
  if (aProgress.m_state == ProgressState::Replicate) {
    aProgress.m_next += count;
  } else {
    aProgress.m_paused = true;
  }
  m_state.SendImmediately(aProgress.m_replica, std::move(append));
  return count > 0;
}

void
LeaderRole::AdvanceCommit(TimePoint aNow)
{
  RaftLog& log = m_state.m_log;
  const auto& members = m_state.m_members.Latest();
  const std::uint64_t match =
    m_tracker.QuorumMatch(members, log.PersistedIndex());
  const bool ownTerm = log.TermAt(match) == m_state.m_hard.term;
  if (match <= log.CommitIndex() || !ownTerm) {
    return;
  }
  log.AdvanceCommitIndex(match);
  for (Progress& progress : m_tracker.Members()) {
    Replicate(aNow, progress);
  }
  if (m_state.m_reads.StartProbe(m_probe + 1)) {
    Broadcast(aNow);
  }
  ConfirmReads(aNow);
  const bool removed = !FindMember(members, m_state.Self());
  if (removed && log.CommitIndex() >= m_state.m_members.LatestIndex()) {
    m_state.BecomeFollower(aNow, m_state.m_hard.term, 0);
  }
}

void
LeaderRole::ConfirmReads(TimePoint aNow)
{
  if (m_state.m_reads.IsEmpty() || !HasCommittedCurrentTerm()) {
    return;
  }
  const std::uint64_t probe =
    HasLease(aNow) ? m_probe + 1
                   : m_tracker.QuorumProbe(m_state.m_members.Latest());
  for (const WaitingRead& read : m_state.m_reads.TakeConfirmed(probe)) {
    m_state.AnswerRead(read, true);
  }
}

} // namespace parsleycove
