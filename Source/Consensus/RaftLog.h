// The entries of the log in memory, with what is committed and what is stored.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "ConsensusGenerated.h"

namespace parsleycove {

struct RestoredLog;

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

  // Nothing for an index before the base or after the end.
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;
  bool IsUpToDate(std::uint64_t aLastIndex, std::uint64_t aLastTerm) const;
  const consensus::EntryT& At(std::uint64_t aIndex) const;

  void Append(consensus::EntryT aEntry);
  void TruncateFrom(std::uint64_t aIndex);
  // Where a leader should try next if the entry at aIndex is not ours.
  std::uint64_t ConflictHint(std::uint64_t aIndex) const;
  // Entries from aFrom on, at least one if there is any.
  std::vector<consensus::EntryT> Slice(std::uint64_t aFrom,
                                       std::size_t aMaxBytes) const;

  // Entries that the store has not been given yet.
  bool HasUnstored() const { return m_submitted < LastIndex(); }
  std::vector<consensus::EntryT> TakeUnstored();
  // What was taken last is synced.
  void MarkPersisted();

  void AdvanceCommitIndex(std::uint64_t aIndex);
  // Whether entries are committed and stored, but not applied.
  bool HasCommitted() const;
  std::vector<consensus::EntryT> TakeCommitted();

  // Drops entries behind a stored snapshot, but for a tail.
  void Compact(std::uint64_t aIndex, std::uint64_t aTailEntries);
  // Starts anew behind an installed snapshot.
  void Reset(std::uint64_t aIndex, std::uint64_t aTerm);

private:
  // m_entries[i] has index m_baseIndex + 1 + i, without gaps.
  std::deque<consensus::EntryT> m_entries;
  std::uint64_t m_baseIndex = 0;
  std::uint64_t m_baseTerm = 0;
  std::uint64_t m_snapshotIndex = 0; // >= m_baseIndex
  std::uint64_t m_commit = 0;        // never falls
  std::uint64_t m_applied = 0;       // <= m_commit
  std::uint64_t m_persisted = 0;     // synced up to here, <= m_submitted
  std::uint64_t m_submitted = 0;     // given to the store up to here
  // Last entry of what the store is syncing.
  std::uint64_t m_syncingIndex = 0;
  std::uint64_t m_syncingTerm = 0;
};

} // namespace parsleycove
