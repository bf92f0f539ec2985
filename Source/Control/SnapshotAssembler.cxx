// Assembles a snapshot from received chunks.
#include "Control/SnapshotAssembler.h"

#include <utility>

namespace parsleycove {

std::optional<ReceivedSnapshot>
SnapshotAssembler::Add(consensus::InstallSnapshotT aPiece)
{
  if (!aPiece.meta) {
    return std::nullopt;
  }
  const bool other =
    aPiece.meta->index != m_index || aPiece.meta->term != m_term;
  if (other || aPiece.offset == 0) {
    m_index = aPiece.meta->index;
    m_term = aPiece.meta->term;
    m_state.clear();
  }
  if (aPiece.offset != m_state.size()) {
    return std::nullopt;
  }
  m_state.insert(m_state.end(), aPiece.data.begin(), aPiece.data.end());
  if (!aPiece.last) {
    return std::nullopt;
  }
  m_index = 0;
  return ReceivedSnapshot{ std::move(*aPiece.meta),
                           std::exchange(m_state, {}) };
}

} // namespace parsleycove
