// Pieces of a snapshot for members that need entries dropped here.
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

  void Start(TimePoint aNow, Progress& aProgress);
  // Goes on with the chunk that the member awaits; starts over if a newer
  // snapshot has replaced the one under way.
  void Continue(TimePoint aNow,
                Progress& aProgress,
                std::uint64_t aIndex,
                std::uint64_t aOffset);
  // Asks for the chunk again if the member has not answered for long.
  void RetryIfLate(TimePoint aNow, Progress& aProgress);

private:
  ReplicaState& m_state;
};

} // namespace parsleycove
