// Puts the received pieces of a snapshot together.
#include "Control/SnapshotAssembler.h"

#include <utility>

namespace parsleycove {

std::optional<ReceivedSnapshot>
SnapshotAssembler::Add(consensus::InstallSnapshotT aChunk)
{
  if (!aChunk.meta) {
    return std::nullopt;
  }
  const bool other =
    aChunk.meta->index != m_index || aChunk.meta->term != m_term;
  if (other || aChunk.offset == 0) {
    m_index = aChunk.meta->index;
    m_term = aChunk.meta->term;
    m_state.clear();
  }
  if (aChunk.offset != m_state.size()) {
    return std::nullopt;
  }
  m_state.insert(m_state.end(), aChunk.data.begin(), aChunk.data.end());
  if (!aChunk.last) {
    return std::nullopt;
  }
  m_index = 0;
  return ReceivedSnapshot{ std::move(*aChunk.meta),
                           std::exchange(m_state, {}) };
}

} // namespace parsleycove
