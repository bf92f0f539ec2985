// Order of the chunks of a snapshot that a follower receives.
#pragma once

#include <cstdint>

#include "ConsensusGenerated.h"

namespace parsleycove {

enum class ChunkResult
{
  Next,       // the awaited chunk
  Last,       // the awaited chunk, and the whole is complete
  OutOfOrder, // another chunk is awaited
  Busy,       // the whole is being installed
};

class SnapshotReceiver
{
public:
  ChunkResult Receive(const consensus::InstallSnapshotT& aChunk);
  std::uint64_t NextOffset() const { return m_offset; }
  bool IsInstalling() const { return m_installing; }
  void Reset();

private:
  bool IsSame(const consensus::SnapshotMetaT& aMeta) const;

  consensus::SnapshotMetaT m_meta; // of the snapshot under way
  std::uint64_t m_offset = 0;      // every byte before it was received
  bool m_installing = false;       // the last chunk was handed to the shell
};

} // namespace parsleycove
