// Puts the received pieces of a snapshot together.
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

// Pieces come in order; one of another snapshot begins anew.
class SnapshotAssembler
{
public:
  // Returns the whole after its last piece.
  std::optional<ReceivedSnapshot> Add(consensus::InstallSnapshotT aChunk);

private:
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  std::vector<std::uint8_t> m_state;
};

} // namespace parsleycove
