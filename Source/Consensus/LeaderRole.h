// What a leader does: replicates, commits, confirms reads, keeps its lease.
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

  void Start(TimePoint aNow);
  void Tick(TimePoint aNow);
  // Steps down if no quorum answered within an election time-out.
  void CheckQuorum(TimePoint aNow);
  bool HasLease(TimePoint aNow) const;
  bool HasCommittedCurrentTerm() const;

  std::uint64_t Propose(TimePoint aNow,
                        consensus::EntryKind aKind,
                        std::vector<std::uint8_t> aData);
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
  // The own entries count once they are stored.
  void OnPersisted(TimePoint aNow);

  const Progress* Find(std::uint64_t aReplica) const;
  // Whether the voters that answered within an election time-out are a quorum.
  bool HasLiveQuorum(TimePoint aNow,
                     const consensus::MembershipT& aMembership) const;
  TimePoint NextDeadline() const;

private:
  void Broadcast(TimePoint aNow);
  void Replicate(TimePoint aNow, Progress& aProgress);
  bool SendAppend(TimePoint aNow, Progress& aProgress, bool aAllowEmpty);
  void SendHeartbeat(TimePoint aNow, Progress& aProgress);
  void Reject(TimePoint aNow, Progress& aProgress, std::uint64_t aHint);
  void Accept(Progress& aProgress, std::uint64_t aMatch);
  void AdvanceCommit(TimePoint aNow);
  void ConfirmReads(TimePoint aNow);

  ReplicaState& m_state;
  SnapshotSender m_snapshots;
  ReplicationTracker m_tracker;
  TimePoint m_startedAt{};
  TimePoint m_nextHeartbeat{};
  std::uint64_t m_probe = 0;      // number of the last message
  std::uint64_t m_firstIndex = 0; // the own term's first entry
};

} // namespace parsleycove
