// The log entries in memory, with the commit index, the last applied index and
// the last index that the store has synced.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

struct RestoredLog;

// Returns the memory of an entry in a log, in bytes.
std::size_t
CountEntryBytes(const consensus::EntryT& aEntry);

class RaftLog
{
public:
  explicit RaftLog(RestoredLog& aRestored);

  std::uint64_t BaseIndex() const { return m_baseIndex; }
  std::uint64_t SnapshotIndex() const { return m_snapshotIndex; }
  std::uint64_t LastIndex() const { return m_baseIndex + m_entries.size(); }
  std::uint64_t LastTerm() const { return *TermAt(LastIndex()); }
  std::uint64_t CommitIndex() const { return m_commit; }
  std::uint64_t AppliedIndex() const { return m_applied; }
  std::uint64_t PersistedIndex() const { return m_persisted; }
  // Memory of the entries, and of those after the commit index, in bytes.
  std::size_t CountBytes() const { return m_bytes; }
  std::size_t CountUncommittedBytes() const { return m_uncommittedBytes; }

  // Returns std::nullopt for an index before the base or after the last entry.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;
  // Returns whether a log that ends with this index and term is at least as
  // up-to-date as this log.
  bool IsUpToDate(std::uint64_t aLastIndex, std::uint64_t aLastTerm) const;
  const consensus::EntryT& At(std::uint64_t aIndex) const;

  void Append(consensus::EntryT aEntry);
  void TruncateFrom(std::uint64_t aIndex);
  // Returns the index at which the leader should probe next, after the entry at
  // aIndex did not match. Skips all entries of the conflicting term at once,
  // but not below the commit index.
  std::uint64_t ConflictHint(std::uint64_t aIndex) const;
  // Returns entries from aFrom on, up to aMaxBytes of data, but at least one
  // entry if there is any.
  std::vector<consensus::EntryT> Slice(std::uint64_t aFrom,
                                       std::size_t aMaxBytes) const;

  // Entries that were not submitted to the store yet.
  bool HasUnstored() const { return m_submitted < LastIndex(); }
  std::vector<consensus::EntryT> TakeUnstored();
  // Records that the entries of the last TakeUnstored are synced.
  void MarkPersisted();

  // Raises the commit index, at most to the last index; never lowers it.
  void AdvanceCommitIndex(std::uint64_t aIndex);
  // Returns whether there are entries that are committed and synced, but not
  // applied.
  bool HasCommitted() const;
  std::vector<consensus::EntryT> TakeCommitted();

  // Discards the entries up to the index of a stored snapshot, except for the
  // last ones, at most aTailEntries with at most aTailBytes of data.
  void Compact(std::uint64_t aIndex,
               std::uint64_t aTailEntries,
               std::uint64_t aTailBytes);
  // Replaces the log by an empty one that starts after an installed snapshot.
  void Reset(std::uint64_t aIndex, std::uint64_t aTerm);

private:
  // m_entries[i] has the index m_baseIndex + 1 + i.
  std::deque<consensus::EntryT> m_entries;
  std::uint64_t m_baseIndex = 0;
  std::uint64_t m_baseTerm = 0;
  std::uint64_t m_snapshotIndex = 0; // >= m_baseIndex
  std::uint64_t m_commit = 0;        // never decreases
  std::uint64_t m_applied = 0;       // <= m_commit
  std::uint64_t m_persisted = 0;     // last synced index, <= m_submitted
  std::uint64_t m_submitted = 0;     // last index given to the store
  // Index and term of the last entry that the store is syncing.
  std::uint64_t m_syncingIndex = 0;
  std::uint64_t m_syncingTerm = 0;
  std::size_t m_bytes = 0;
  std::size_t m_uncommittedBytes = 0; // of the entries after m_commit
};

} // namespace parsleycove
