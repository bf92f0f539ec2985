// Durable log, hard state and snapshots of one replica in one data folder.
#include "Store/LogStore.h"

#include <utility>

#include "Store/FileWrite.h"
#include "Store/FolderScan.h"
#include "Store/RecordTable.h"
#include "Store/StoreContent.h"
#include "Store/StoreLoader.h"

namespace parsleycove {

struct LogStore::Parts
{
  Parts(Files& aFiles, const std::string& aFolder)
    : m_files(aFiles)
    , m_folder(aFolder)
    , m_writer(aFiles, aFolder)
  {
  }

  bool Open(StoreReason& aReason);
  // Takes an outcome of the disk; a failure is final.
  bool Note(bool aDone);
  bool Refuse(StoreError aError, std::string aText);
  bool TakeIdentity(const StoreIdentity& aIdentity);
  bool CheckOrder(const std::vector<consensus::EntryT>& aEntries);
  // Starts a segment that holds all that older ones say besides entries.
  bool Roll(const consensus::SnapshotMetaT* aReset);
  bool DropOlder(const std::optional<SnapshotFile>& aOlder);

  std::uint64_t SnapshotIndex() const
  {
    return m_content.m_snapshot ? m_content.m_snapshot->Meta().index : 0;
  }

  Files& m_files;
  const std::string m_folder;
  std::unique_ptr<FolderLock> m_lock;
  SegmentWriter m_writer;
  StoreContent m_content;
  consensus::HardStateT m_hard; // the last one added
  std::uint64_t m_lastIndex = 0;
  bool m_failed = false; // nothing is taken any more
  StoreReason m_reason;
};

bool
LogStore::Parts::Open(StoreReason& aReason)
{
  m_lock = m_files.CreateFolder(m_folder, aReason)
             ? m_files.Lock(m_folder + "/" + kLockName, aReason)
             : nullptr;
  if (!m_lock) {
    return false;
  }
  auto content = StoreLoader(m_files, m_folder, m_writer, aReason).Load();
  if (!content) {
    return false;
  }
  m_content = std::move(*content);
  m_hard = m_content.m_log.m_hardState;
  m_lastIndex = SnapshotIndex() + m_content.m_log.m_entries.size();
  const auto meta = m_content.m_snapshot
                      ? std::optional(m_content.m_snapshot->Meta())
                      : std::nullopt;
  const bool opened = m_writer.IsStarted() && !m_content.m_mustReset
                        ? true
                        : Roll(m_content.m_mustReset ? &*meta : nullptr);
  aReason = m_reason;
  return opened;
}

bool
LogStore::Parts::Note(bool aDone)
{
  m_failed = m_failed || !aDone;
  return aDone;
}

bool
LogStore::Parts::Refuse(StoreError aError, std::string aText)
{
  m_reason.Set(aError, std::move(aText));
  return false;
}

bool
LogStore::Parts::TakeIdentity(const StoreIdentity& aIdentity)
{
  const auto& known = m_content.m_identity;
  if (known && known->IsSame(aIdentity.m_replica, aIdentity.m_cluster)) {
    return true;
  }
  if (known) {
    return Refuse(StoreError::Identity,
                  m_folder + ": belongs to replica " +
                    std::to_string(known->m_replica) + " of cluster " +
                    std::to_string(known->m_cluster) +
                    "; expected the same identity");
  }
  if (aIdentity.m_replica == 0 || aIdentity.m_cluster == 0) {
    return Refuse(StoreError::Invalid,
                  "identity: replica or cluster 0; expected other numbers");
  }
  if (!Note(WriteIdentity(m_files, m_folder, aIdentity, m_reason))) {
    return false;
  }
  m_content.m_identity = aIdentity;
  return true;
}

bool
LogStore::Parts::CheckOrder(const std::vector<consensus::EntryT>& aEntries)
{
  const std::uint64_t first = aEntries.front().index;
  if (first <= SnapshotIndex() || first > m_lastIndex + 1) {
    return Refuse(StoreError::Invalid,
                  "append: entry " + std::to_string(first) + " after entry " +
                    std::to_string(m_lastIndex) + " and snapshot " +
                    std::to_string(SnapshotIndex()));
  }
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    if (aEntries[i].index != first + i || aEntries[i].term > m_hard.term) {
      return Refuse(StoreError::Invalid,
                    "append: entry " + std::to_string(aEntries[i].index) +
                      " leaves a gap or is of a term that is not stored");
    }
  }
  return true;
}

bool
LogStore::Parts::Roll(const consensus::SnapshotMetaT* aReset)
{
  if (!Note(m_writer.Sync(m_reason))) {
    return false;
  }
  m_writer.BeginNext();
  if (m_content.m_identity) {
    m_writer.Add(RecordKind::HardState, EncodeTable(m_hard));
  }
  if (aReset) {
    m_writer.Add(RecordKind::Reset, EncodeTable(*aReset));
  }
  return Note(m_writer.Sync(m_reason));
}

bool
LogStore::Parts::DropOlder(const std::optional<SnapshotFile>& aOlder)
{
  const bool dropped = m_writer.DeleteUpTo(SnapshotIndex(), m_reason);
  const bool replaced =
    aOlder && aOlder->Path() != m_content.m_snapshot->Path();
  return Note(dropped &&
              (!replaced || m_files.Remove(aOlder->Path(), m_reason)));
}

std::unique_ptr<LogStore>
LogStore::Open(Files& aFiles, const std::string& aFolder, StoreReason& aReason)
{
  auto parts = std::make_unique<Parts>(aFiles, aFolder);
  if (!parts->Open(aReason)) {
    return nullptr;
  }
  return std::unique_ptr<LogStore>(new LogStore(std::move(parts)));
}

LogStore::LogStore(std::unique_ptr<Parts> aParts)
  : m_parts(std::move(aParts))
{
}

LogStore::~LogStore() = default;

const RestoredLog&
LogStore::Restored() const
{
  return m_parts->m_content.m_log;
}

RestoredLog
LogStore::TakeRestored()
{
  return std::exchange(m_parts->m_content.m_log, {});
}

bool
LogStore::MarkBootstrap(std::uint64_t aReplica, std::uint64_t aCluster)
{
  Parts& parts = *m_parts;
  const auto& known = parts.m_content.m_identity;
  const bool again = known && known->m_bootstrapped != 0 &&
                     known->IsSame(aReplica, aCluster) &&
                     parts.m_lastIndex == 0 && parts.m_hard.term == 0;
  if (parts.m_failed || (known && !again)) {
    return !parts.m_failed &&
           parts.Refuse(StoreError::Identity,
                        parts.m_folder +
                          ": has a replica already; expected a new folder to "
                          "form a cluster from");
  }
  return parts.TakeIdentity({ aReplica, aCluster, 1 });
}

std::optional<std::vector<std::uint8_t>>
LogStore::ReadSnapshot(StoreReason& aReason)
{
  const auto& snapshot = m_parts->m_content.m_snapshot;
  aReason = {};
  return snapshot ? snapshot->ReadState(m_parts->m_files, aReason)
                  : std::nullopt;
}

bool
LogStore::SaveHardState(const consensus::HardStateT& aState)
{
  Parts& parts = *m_parts;
  if (parts.m_failed ||
      !parts.TakeIdentity({ aState.replica, aState.cluster, 0 })) {
    return false;
  }
  const bool revoked = aState.term == parts.m_hard.term &&
                       parts.m_hard.vote != 0 &&
                       aState.vote != parts.m_hard.vote;
  if (aState.term < parts.m_hard.term || revoked) {
    return parts.Refuse(StoreError::Invalid,
                        "hard state: term " + std::to_string(aState.term) +
                          " and vote " + std::to_string(aState.vote) +
                          " after term " + std::to_string(parts.m_hard.term) +
                          " and vote " + std::to_string(parts.m_hard.vote));
  }
  parts.m_hard = aState;
  parts.m_writer.Add(RecordKind::HardState, EncodeTable(aState));
  return true;
}

bool
LogStore::Append(const std::vector<consensus::EntryT>& aEntries)
{
  Parts& parts = *m_parts;
  if (parts.m_failed || aEntries.empty() || !parts.CheckOrder(aEntries)) {
    return !parts.m_failed && aEntries.empty();
  }
  for (const consensus::EntryT& entry : aEntries) {
    parts.m_writer.Add(RecordKind::Entry, EncodeTable(entry), entry.index);
  }
  parts.m_lastIndex = aEntries.back().index;
  return true;
}

bool
LogStore::Sync()
{
  Parts& parts = *m_parts;
  if (parts.m_failed || !parts.Note(parts.m_writer.Sync(parts.m_reason))) {
    return false;
  }
  return !parts.m_writer.IsFull() || parts.Roll(nullptr);
}

bool
LogStore::InstallSnapshot(const consensus::SnapshotMetaT& aMeta,
                          const std::vector<std::uint8_t>& aState,
                          bool aKeepTail)
{
  Parts& parts = *m_parts;
  if (parts.m_failed) {
    return false;
  }
  if (aMeta.index < parts.SnapshotIndex() ||
      (aKeepTail && aMeta.index > parts.m_lastIndex)) {
    return parts.Refuse(StoreError::Invalid,
                        "snapshot: index " + std::to_string(aMeta.index) +
                          " is older than the stored one or behind the log");
  }
  auto snapshot = SnapshotFile::Write(
    parts.m_files, parts.m_folder, aMeta, aState, parts.m_reason);
  if (!parts.Note(snapshot.has_value())) {
    return false;
  }
  const auto older = std::exchange(parts.m_content.m_snapshot, snapshot);
  if (!aKeepTail) {
    parts.m_lastIndex = aMeta.index;
  }
  return parts.Roll(aKeepTail ? nullptr : &aMeta) && parts.DropOlder(older);
}

std::optional<std::vector<std::uint8_t>>
LogStore::ReadSnapshotPiece(std::uint64_t aOffset, std::size_t aSize)
{
  Parts& parts = *m_parts;
  const auto& snapshot = parts.m_content.m_snapshot;
  return snapshot
           ? snapshot->ReadPiece(parts.m_files, aOffset, aSize, parts.m_reason)
           : std::nullopt;
}

std::optional<consensus::SnapshotMetaT>
LogStore::Snapshot() const
{
  const auto& snapshot = m_parts->m_content.m_snapshot;
  return snapshot ? std::optional(snapshot->Meta()) : std::nullopt;
}

std::uint64_t
LogStore::LogBytes() const
{
  return m_parts->m_writer.CountBytes();
}

const StoreReason&
LogStore::LastReason() const
{
  return m_parts->m_reason;
}

} // namespace parsleycove
