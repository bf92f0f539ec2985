// Sends a snapshot in chunks to a member that needs entries which the leader
// has compacted.
#pragma once

#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

class Progress;
class ReplicaState;

class SnapshotSender
{
public:
  explicit SnapshotSender(ReplicaState& aState)
    : m_state(aState)
  {
  }

  // Starts to send the newest snapshot to the member.
  void Start(TimePoint aNow, Progress& aProgress);
  // Requests the chunk at aOffset of the snapshot at aIndex. Starts over with
  // the newest snapshot if that one has replaced the snapshot at aIndex.
  void Continue(TimePoint aNow,
                Progress& aProgress,
                std::uint64_t aIndex,
                std::uint64_t aOffset);
  // Requests the chunk again if the member has not answered within an election
  // timeout.
  void RetryIfLate(TimePoint aNow, Progress& aProgress);

private:
  ReplicaState& m_state;
};

} // namespace parsleycove
