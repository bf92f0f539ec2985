// Pieces of a snapshot for members that need entries dropped here.
#include "Consensus/SnapshotSender.h"

#include "Consensus/Progress.h"
#include "Consensus/ReplicaState.h"

namespace parsleycove {

void
SnapshotSender::Start(TimePoint aNow, Progress& aProgress)
{
  aProgress.m_state = ProgressState::Snapshot;
  Continue(aNow, aProgress, m_state.m_log.SnapshotIndex(), 0);
}

void
SnapshotSender::Continue(TimePoint aNow,
                         Progress& aProgress,
                         std::uint64_t aIndex,
                         std::uint64_t aOffset)
{
  if (aProgress.m_state != ProgressState::Snapshot) {
    return;
  }
  const std::uint64_t newest = m_state.m_log.SnapshotIndex();
  aProgress.m_snapshotIndex = newest;
  aProgress.m_snapshotOffset = aIndex == newest ? aOffset : 0;
  aProgress.m_snapshotRequestedAt = aNow;
  m_state.m_out.m_chunkRequests.push_back(
    { aProgress.m_replica, newest, aProgress.m_snapshotOffset });
}

void
SnapshotSender::RetryIfLate(TimePoint aNow, Progress& aProgress)
{
  const Duration waited = aNow - aProgress.m_snapshotRequestedAt;
  if (waited > m_state.m_options.m_electionTimeout) {
    Continue(
      aNow, aProgress, aProgress.m_snapshotIndex, aProgress.m_snapshotOffset);
  }
}

} // namespace parsleycove
