// One stored snapshot: its description and the state's bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ConsensusGenerated.h"
#include "Store/Files.h"

namespace parsleycove {

class SnapshotFile
{
public:
  // Writes a snapshot durably; sets its size and checksum.
  static std::optional<SnapshotFile> Write(
    Files& aFiles,
    const std::string& aFolder,
    consensus::SnapshotMetaT aMeta,
    const std::vector<std::uint8_t>& aState,
    StoreReason& aReason);
  // Opens a stored one; its bytes are verified by ReadState.
  static std::optional<SnapshotFile> Open(Files& aFiles,
                                          const std::string& aPath,
                                          StoreReason& aReason);

  const consensus::SnapshotMetaT& Meta() const { return m_meta; }
  const std::string& Path() const { return m_path; }
  std::optional<std::vector<std::uint8_t>> ReadState(
    Files& aFiles,
    StoreReason& aReason) const;
  std::optional<std::vector<std::uint8_t>> ReadPiece(
    Files& aFiles,
    std::uint64_t aOffset,
    std::size_t aSize,
    StoreReason& aReason) const;

private:
  SnapshotFile(std::string aPath,
               consensus::SnapshotMetaT aMeta,
               std::uint64_t aStateOffset);

  std::string m_path;
  consensus::SnapshotMetaT m_meta;
  std::uint64_t m_stateOffset;
};

} // namespace parsleycove
