// Checks the order of the snapshot chunks that a follower receives.
#pragma once

#include <cstdint>

#include "ConsensusGenerated.h"

namespace parsleycove {

enum class ChunkResult
{
  Next,       // the expected chunk
  Last,       // the expected chunk, which completes the snapshot
  OutOfOrder, // not the expected chunk
  Busy,       // the complete snapshot is being installed
};

class SnapshotReceiver
{
public:
  // A chunk of a different snapshot than the current one starts a new snapshot.
  ChunkResult Receive(const consensus::InstallSnapshotT& aChunk);
  std::uint64_t NextOffset() const { return m_offset; }
  bool IsInstalling() const { return m_installing; }
  void Reset();

private:
  bool IsSame(const consensus::SnapshotMetaT& aMeta) const;

  consensus::SnapshotMetaT m_meta; // of the snapshot being received
  std::uint64_t m_offset = 0;      // all bytes before it were received
  bool m_installing = false;       // the last chunk was passed to the caller
};

} // namespace parsleycove
