// What a follower does: takes entries and snapshots from its leader.
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
  void SnapshotInstalled(consensus::SnapshotMetaT aMeta);
  void SnapshotRejected();

  void Read(TimePoint aNow, consensus::ReadIndexT aRequest);
  void OnReadIndexReply(std::uint64_t aFrom,
                        const consensus::ReadIndexReplyT& aBody);

private:
  bool FollowLeader(TimePoint aNow, std::uint64_t aFrom, std::uint64_t aTerm);
  void RejectStaleTerm(std::uint64_t aTo);
  // Returns the last index that is known to equal the leader's, or nothing if
  // the log does not hold the entry before the new ones.
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
