// Durable log, hard state and snapshots of one replica in one data folder.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Consensus/Replica.h"
#include "Store/Files.h"
#include "Store/StoreError.h"

namespace parsleycove {

// The data folder of a replica.
//
// Nothing is promised before Sync returned true. After any failed write or
// sync the store takes nothing more: what reached the disk is unknown then,
// and only opening the folder again can tell.
class LogStore
{
public:
  // Takes the folder's lock and reads what is there. Fails on damage.
  static std::unique_ptr<LogStore> Open(Files& aFiles,
                                        const std::string& aFolder,
                                        StoreReason& aReason);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // What the folder held when it was opened, until TakeRestored().
  const RestoredLog& Restored() const;
  RestoredLog TakeRestored();

  // Marks a new folder as the one that forms the cluster, durably. Fails on a
  // folder that has an identity already, unless it is this same one and its
  // log is still empty.
  bool MarkBootstrap(std::uint64_t aReplica, std::uint64_t aCluster);

  // Newest snapshot, with its checksum verified; nothing without a reason if
  // there is none.
  std::optional<std::vector<std::uint8_t>> ReadSnapshot(StoreReason& aReason);

  // The first hard state also writes the folder's identity, once and for all;
  // a later one of another replica or cluster is refused. Not durable until
  // Sync.
  bool SaveHardState(const consensus::HardStateT& aState);
  // Replaces from the first entry's index on. Not durable until Sync.
  bool Append(const std::vector<consensus::EntryT>& aEntries);
  // One fsync for all of the above; false is final.
  bool Sync();

  // Durable on return. With aKeepTail the entries that follow the snapshot
  // stay, otherwise the log starts anew behind it. The size and the checksum
  // in aMeta are computed here.
  bool InstallSnapshot(const consensus::SnapshotMetaT& aMeta,
                       const std::vector<std::uint8_t>& aState,
                       bool aKeepTail);
  std::optional<std::vector<std::uint8_t>> ReadSnapshotPiece(
    std::uint64_t aOffset,
    std::size_t aSize);
  std::optional<consensus::SnapshotMetaT> Snapshot() const;

  std::uint64_t LogBytes() const;
  const StoreReason& LastReason() const;

private:
  struct Parts;

  explicit LogStore(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> m_parts;
};

} // namespace parsleycove
