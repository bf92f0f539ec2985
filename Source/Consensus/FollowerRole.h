// The follower's role: receives log entries and snapshots from the leader, and
// forwards reads to the leader.
#pragma once

#include <cstdint>
#include <optional>

#include "Base/Clock.h"
#include "Consensus/SnapshotReceiver.h"
#include "ConsensusGenerated.h"

namespace parsleycove {

class ReplicaState;

class FollowerRole
{
public:
  explicit FollowerRole(ReplicaState& aState)
    : m_state(aState)
  {
  }

  void OnAppend(TimePoint aNow,
                std::uint64_t aFrom,
                const consensus::AppendT& aBody);
  void OnInstallSnapshot(TimePoint aNow,
                         std::uint64_t aFrom,
                         const consensus::InstallSnapshotT& aBody);
  // Replaces the log by the installed snapshot and reports it to the leader.
  void SnapshotInstalled(consensus::SnapshotMetaT aMeta);
  // Receives the snapshot again from its first byte.
  void SnapshotRejected();

  // Forwards the read to the leader; fails it at once if no leader is known.
  void Read(TimePoint aNow, consensus::ReadIndexT aRequest);
  void OnReadIndexReply(std::uint64_t aFrom,
                        const consensus::ReadIndexReplyT& aBody);

private:
  // Accepts the sender as the leader of aTerm. Returns false, after a
  // rejection, if this replica has a higher term.
  bool FollowLeader(TimePoint aNow, std::uint64_t aFrom, std::uint64_t aTerm);
  void RejectStaleTerm(std::uint64_t aTo);
  // Appends the new entries and truncates conflicting ones. Returns the last
  // index up to which the log is known to match the leader's, or std::nullopt
  // if the log does not hold the entry before the new ones.
  std::optional<std::uint64_t> MergeEntries(const consensus::AppendT& aBody);
  void MergeEntry(const consensus::EntryT& aEntry);
  void ReplySnapshot(std::uint64_t aTo,
                     std::uint64_t aIndex,
                     std::uint64_t aNextOffset,
                     bool aDone);

  ReplicaState& m_state;
  SnapshotReceiver m_receiver;
};

} // namespace parsleycove
