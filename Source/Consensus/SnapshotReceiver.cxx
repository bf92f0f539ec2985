// Order of the chunks of a snapshot that a follower receives.
#include "Consensus/SnapshotReceiver.h"

namespace parsleycove {

ChunkResult
SnapshotReceiver::Receive(const consensus::InstallSnapshotT& aChunk)
{
  if (m_installing) {
    return ChunkResult::Busy;
  }
  if (!IsSame(*aChunk.meta)) {
    m_meta = *aChunk.meta;
    m_offset = 0;
  }
  if (aChunk.offset != m_offset) {
    return ChunkResult::OutOfOrder;
  }
  m_offset += aChunk.data.size();
  m_installing = aChunk.last;
  return aChunk.last ? ChunkResult::Last : ChunkResult::Next;
}

void
SnapshotReceiver::Reset()
{
  m_meta = {};
  m_offset = 0;
  m_installing = false;
}

bool
SnapshotReceiver::IsSame(const consensus::SnapshotMetaT& aMeta) const
{
  return aMeta.index == m_meta.index && aMeta.term == m_meta.term &&
         aMeta.size == m_meta.size && aMeta.checksum == m_meta.checksum;
}

} // namespace parsleycove
