// The log entries in memory, with the commit index, the last applied index and
// the last index that the store has synced.
#include "Consensus/RaftLog.h"

#include <algorithm>

#include "Consensus/Replica.h"

namespace parsleycove {

std::size_t
CountEntryBytes(const consensus::EntryT& aEntry)
{
  return sizeof(aEntry) + aEntry.data.size();
}

RaftLog::RaftLog(RestoredLog& aRestored)
{
  if (aRestored.m_snapshot) {
    m_baseIndex = aRestored.m_snapshot->index;
    m_baseTerm = aRestored.m_snapshot->term;
  }
  m_snapshotIndex = m_baseIndex;
  m_commit = m_baseIndex;
  m_applied = m_baseIndex;
  for (consensus::EntryT& entry : aRestored.m_entries) {
    Append(std::move(entry));
  }
  m_submitted = LastIndex();
  m_persisted = m_submitted;
}

std::optional<std::uint64_t>
RaftLog::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == m_baseIndex) {
    return m_baseTerm;
  }
  if (aIndex < m_baseIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).term;
}

bool
RaftLog::IsUpToDate(std::uint64_t aLastIndex, std::uint64_t aLastTerm) const
{
  if (aLastTerm != LastTerm()) {
    return aLastTerm > LastTerm();
  }
  return aLastIndex >= LastIndex();
}

const consensus::EntryT&
RaftLog::At(std::uint64_t aIndex) const
{
  return m_entries[aIndex - m_baseIndex - 1];
}

void
RaftLog::Append(consensus::EntryT aEntry)
{
  m_bytes += CountEntryBytes(aEntry);
  m_uncommittedBytes += CountEntryBytes(aEntry);
  m_entries.push_back(std::move(aEntry));
}

void
RaftLog::TruncateFrom(std::uint64_t aIndex)
{
  while (LastIndex() >= aIndex) {
    m_bytes -= CountEntryBytes(m_entries.back());
    m_uncommittedBytes -= CountEntryBytes(m_entries.back());
    m_entries.pop_back();
  }
  m_submitted = std::min(m_submitted, aIndex - 1);
  m_persisted = std::min(m_persisted, aIndex - 1);
}

std::uint64_t
RaftLog::ConflictHint(std::uint64_t aIndex) const
{
  if (aIndex > LastIndex()) {
    return LastIndex();
  }
  const std::uint64_t term = *TermAt(aIndex);
  std::uint64_t hint = aIndex - 1;
  while (hint > m_commit && TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

std::vector<consensus::EntryT>
RaftLog::Slice(std::uint64_t aFrom, std::size_t aMaxBytes) const
{
  std::vector<consensus::EntryT> result;
  std::size_t bytes = 0;
  for (std::uint64_t index = aFrom; index <= LastIndex(); ++index) {
    const consensus::EntryT& entry = At(index);
    bytes += entry.data.size();
    if (!result.empty() && bytes > aMaxBytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

std::vector<consensus::EntryT>
RaftLog::TakeUnstored()
{
  std::vector<consensus::EntryT> result;
  for (std::uint64_t index = m_submitted + 1; index <= LastIndex(); ++index) {
    result.push_back(At(index));
  }
  m_submitted = LastIndex();
  m_syncingIndex = LastIndex();
  m_syncingTerm = LastTerm();
  return result;
}

void
RaftLog::MarkPersisted()
{
  // If the terms differ, a truncation has replaced the synced entries in the
  // meantime; the replacements count after the next sync.
  if (TermAt(m_syncingIndex) == m_syncingTerm) {
    m_persisted = std::max(m_persisted, std::min(m_syncingIndex, m_submitted));
  }
}

void
RaftLog::AdvanceCommitIndex(std::uint64_t aIndex)
{
  const std::uint64_t end = std::min(aIndex, LastIndex());
  while (m_commit < end) {
    ++m_commit;
    m_uncommittedBytes -= CountEntryBytes(At(m_commit));
  }
}

bool
RaftLog::HasCommitted() const
{
  return std::min(m_commit, m_persisted) > m_applied;
}

std::vector<consensus::EntryT>
RaftLog::TakeCommitted()
{
  std::vector<consensus::EntryT> result;
  const std::uint64_t end = std::min(m_commit, m_persisted);
  for (; m_applied < end; ++m_applied) {
    result.push_back(At(m_applied + 1));
  }
  return result;
}

void
RaftLog::Compact(std::uint64_t aIndex,
                 std::uint64_t aTailEntries,
                 std::uint64_t aTailBytes)
{
  m_snapshotIndex = std::max(m_snapshotIndex, aIndex);
  std::uint64_t base = m_snapshotIndex;
  std::uint64_t bytes = 0;
  while (base > m_baseIndex && m_snapshotIndex - base < aTailEntries) {
    bytes += At(base).data.size();
    if (bytes > aTailBytes) {
      break;
    }
    --base;
  }
  if (base == m_baseIndex) {
    return;
  }
  m_baseTerm = *TermAt(base);
  const auto count = static_cast<std::ptrdiff_t>(base - m_baseIndex);
  for (auto entry = m_entries.begin(); entry != m_entries.begin() + count;
       ++entry) {
    m_bytes -= CountEntryBytes(*entry);
  }
  m_entries.erase(m_entries.begin(), m_entries.begin() + count);
  m_baseIndex = base;
}

void
RaftLog::Reset(std::uint64_t aIndex, std::uint64_t aTerm)
{
  m_entries.clear();
  m_bytes = 0;
  m_uncommittedBytes = 0;
  m_baseIndex = aIndex;
  m_baseTerm = aTerm;
  m_snapshotIndex = aIndex;
  m_commit = aIndex;
  m_applied = aIndex;
  m_persisted = aIndex;
  m_submitted = aIndex;
  m_syncingIndex = aIndex;
  m_syncingTerm = aTerm;
}

} // namespace parsleycove
