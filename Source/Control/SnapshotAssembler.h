// Assembles a snapshot from received chunks.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

struct ReceivedSnapshot
{
  consensus::SnapshotMetaT m_meta;
  std::vector<std::uint8_t> m_state;
};

// Accepts chunks in order and ignores all others. A chunk of another snapshot,
// or one at offset 0, discards what was received before.
class SnapshotAssembler
{
public:
  // Returns the complete snapshot after its last chunk, std::nullopt before.
  std::optional<ReceivedSnapshot> Add(consensus::InstallSnapshotT aChunk);

private:
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  std::vector<std::uint8_t> m_state;
};

} // namespace parsleycove
