// The leader's role: replicates and commits log entries, confirms reads and
// maintains the leader lease.
#pragma once

#include <cstdint>

#include "Consensus/ReplicationTracker.h"
#include "Consensus/SnapshotSender.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

class ReplicaState;

class LeaderRole
{
public:
  explicit LeaderRole(ReplicaState& aState);

  // Takes over leadership of the current term and appends an empty entry.
  // Entries of earlier terms commit only together with an entry of this term.
  void Start(TimePoint aNow);
  void Tick(TimePoint aNow);
  // Steps down if no quorum has answered within an election timeout.
  void CheckQuorum(TimePoint aNow);
  bool HasLease(TimePoint aNow) const;
  bool HasCommittedCurrentTerm() const;

  std::uint64_t Propose(TimePoint aNow,
                        consensus::EntryKind aKind,
                        std::vector<std::uint8_t> aData);
  // Adds a read (aFrom is 0 for a read of the leader itself). The read is
  // confirmed once an entry of this term is committed and either the lease is
  // valid or a quorum has answered a message sent after the read arrived.
  void Read(TimePoint aNow,
            std::uint64_t aFrom,
            std::uint64_t aId,
            TimePoint aRequestedAt);
  void OnAppendReply(TimePoint aNow,
                     std::uint64_t aFrom,
                     const consensus::AppendReplyT& aBody);
  void OnInstallSnapshotReply(TimePoint aNow,
                              std::uint64_t aFrom,
                              const consensus::InstallSnapshotReplyT& aBody);
  // Advances the commit index. The leader's copies of entries count towards the
  // commit index only once they are stored.
  void OnPersisted(TimePoint aNow);

  // Returns nullptr for a replica that is not a member, and for the leader
  // itself.
  const Progress* Find(std::uint64_t aReplica) const;
  // Returns whether this member has answered within an election timeout, or is
  // the leader itself.
  bool HasAnswered(TimePoint aNow, std::uint64_t aReplica) const;
  // Returns whether a quorum of the membership's voters has answered within an
  // election timeout.
  bool HasLiveQuorum(TimePoint aNow,
                     const consensus::MembershipT& aMembership) const;
  TimePoint NextDeadline() const;

private:
  void Broadcast(TimePoint aNow);
  void Replicate(TimePoint aNow, Progress& aProgress);
  // Sends the next entries, an empty append only if aAllowEmpty or if the
  // commit index has not been sent to the member yet. Returns whether entries
  // were sent.
  bool SendAppend(TimePoint aNow, Progress& aProgress, bool aAllowEmpty);
  void SendHeartbeat(TimePoint aNow, Progress& aProgress);
  // Moves the next index back to the entry after aHint and probes from there.
  void Reject(TimePoint aNow, Progress& aProgress, std::uint64_t aHint);
  // Raises the match index; resumes replication once the member's log is known
  // to match, or the snapshot that it needs is installed.
  void Accept(Progress& aProgress, std::uint64_t aMatch);
  void AdvanceCommit(TimePoint aNow);
  void ConfirmReads(TimePoint aNow);

  ReplicaState& m_state;
  SnapshotSender m_snapshots;
  ReplicationTracker m_tracker;
  TimePoint m_startedAt{};
  TimePoint m_nextHeartbeat{};
  std::uint64_t m_probe = 0;      // number of the last append or heartbeat
  std::uint64_t m_firstIndex = 0; // index of the first entry of this term
};

} // namespace parsleycove
