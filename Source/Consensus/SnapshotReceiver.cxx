// Order of the pieces of a snapshot that a follower receives.
#include "Consensus/SnapshotReceiver.h"

namespace parsleycove {

PieceVerdict
SnapshotReceiver::Take(const consensus::InstallSnapshotT& aPiece)
{
  if (m_installing) {
    return PieceVerdict::Busy;
  }
  if (!IsSame(*aPiece.meta)) {
    m_meta = *aPiece.meta;
    m_offset = 0;
  }
  if (aPiece.offset != m_offset) {
    return PieceVerdict::OutOfTurn;
  }
  m_offset += aPiece.data.size();
  m_installing = aPiece.last;
  return aPiece.last ? PieceVerdict::Last : PieceVerdict::Next;
}

void
SnapshotReceiver::Forget()
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
