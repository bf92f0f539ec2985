// One stored snapshot: its description and the state's bytes.
#include "Store/SnapshotFile.h"

#include <algorithm>

#include "Store/FileWrite.h"
#include "Store/FolderScan.h"
#include "Store/Record.h"
#include "Store/RecordTable.h"
#include "Store/StoreText.h"

namespace parsleycove {

namespace {

constexpr std::uint64_t kSalt = 0;

} // namespace

SnapshotFile::SnapshotFile(std::string aPath,
                           consensus::SnapshotMetaT aMeta,
                           std::uint64_t aStateOffset)
  : m_path(std::move(aPath))
  , m_meta(std::move(aMeta))
  , m_stateOffset(aStateOffset)
{
}

std::optional<SnapshotFile>
SnapshotFile::Write(Files& aFiles,
                    const std::string& aFolder,
                    consensus::SnapshotMetaT aMeta,
                    const std::vector<std::uint8_t>& aState,
                    StoreReason& aReason)
{
  aMeta.size = aState.size();
  aMeta.checksum = Checksum(aState);
  std::vector<std::uint8_t> bytes;
  AppendRecord(bytes, RecordKind::Snapshot, kSalt, EncodeTable(aMeta));
  const std::uint64_t offset = bytes.size();
  bytes.insert(bytes.end(), aState.begin(), aState.end());
  const std::string name = NameSnapshot(aMeta.index);
  if (!WriteWhole(aFiles, aFolder, name, bytes, aReason)) {
    return std::nullopt;
  }
  return SnapshotFile(aFolder + "/" + name, std::move(aMeta), offset);
}

std::optional<SnapshotFile>
SnapshotFile::Open(Files& aFiles,
                   const std::string& aPath,
                   StoreReason& aReason)
{
  const auto bytes = aFiles.Read(aPath, aReason);
  if (!bytes) {
    return std::nullopt;
  }
  const auto record = ReadRecord(*bytes, 0, kSalt);
  auto meta = record && record->m_kind == RecordKind::Snapshot
                ? DecodeTable<consensus::SnapshotMetaT>(record->m_payload)
                : std::nullopt;
  if (!meta || bytes->size() - record->m_end != meta->size) {
    aReason = MakeDamage(aPath, "the snapshot's description is broken");
    return std::nullopt;
  }
  return SnapshotFile(aPath, std::move(*meta), record->m_end);
}

std::optional<std::vector<std::uint8_t>>
SnapshotFile::ReadState(Files& aFiles, StoreReason& aReason) const
{
  auto state = ReadPiece(aFiles, 0, m_meta.size, aReason);
  if (state && Checksum(*state) != m_meta.checksum) {
    aReason = MakeDamage(m_path, "the snapshot's checksum is wrong");
    return std::nullopt;
  }
  return state;
}

std::optional<std::vector<std::uint8_t>>
SnapshotFile::ReadPiece(Files& aFiles,
                        std::uint64_t aOffset,
                        std::size_t aSize,
                        StoreReason& aReason) const
{
  const std::uint64_t offset = std::min(aOffset, m_meta.size);
  const std::uint64_t size =
    std::min<std::uint64_t>(aSize, m_meta.size - offset);
  return aFiles.ReadRange(m_path, m_stateOffset + offset, size, aReason);
}

} // namespace parsleycove
