// Builds the log again from the records of its segments.
#include "Store/LogReplay.h"

#include <algorithm>
#include <utility>

#include "Store/RecordTable.h"

namespace parsleycove {

namespace {

std::string
NameEntry(std::uint64_t aIndex)
{
  return "entry " + std::to_string(aIndex);
}

} // namespace

std::optional<std::string>
LogReplay::Take(const Record& aRecord)
{
  if (aRecord.m_kind == RecordKind::Entry) {
    auto entry = DecodeTable<consensus::EntryT>(aRecord.m_payload);
    return entry ? TakeEntry(std::move(*entry))
                 : std::optional<std::string>("an entry cannot be decoded");
  }
  if (aRecord.m_kind == RecordKind::HardState) {
    auto state = DecodeTable<consensus::HardStateT>(aRecord.m_payload);
    if (!state || state->term < m_log.m_hardState.term) {
      return "the term and vote cannot be decoded, or the term falls";
    }
    m_log.m_hardState = *state;
  }
  if (aRecord.m_kind == RecordKind::Reset) {
    auto meta = DecodeTable<consensus::SnapshotMetaT>(aRecord.m_payload);
    if (!meta) {
      return "a restart of the log cannot be decoded";
    }
    m_log.m_entries.clear();
    m_base = meta->index;
    m_hasBase = true;
  }
  return std::nullopt;
}

std::optional<std::string>
LogReplay::TakeEntry(consensus::EntryT aEntry)
{
  auto& entries = m_log.m_entries;
  if (!m_hasBase) {
    m_base = aEntry.index - 1;
    m_hasBase = true;
  }
  const std::uint64_t last = m_base + entries.size();
  if (aEntry.index <= m_base || aEntry.index > last + 1) {
    return NameEntry(aEntry.index) + " follows " + NameEntry(last);
  }
  if (aEntry.term > m_log.m_hardState.term) {
    return NameEntry(aEntry.index) +
           " has a higher term than the stored one; a stored term is lost";
  }
  m_maxIndex = std::max(m_maxIndex, aEntry.index);
  entries.resize(aEntry.index - m_base - 1);
  entries.push_back(std::move(aEntry));
  return std::nullopt;
}

std::uint64_t
LogReplay::TakeMaxIndex()
{
  return std::exchange(m_maxIndex, 0);
}

bool
LogReplay::KeepsTail(const consensus::SnapshotMetaT& aSnapshot) const
{
  const std::uint64_t last = m_base + m_log.m_entries.size();
  if (last < aSnapshot.index) {
    return false;
  }
  if (m_base >= aSnapshot.index) {
    return true;
  }
  const auto& entry = m_log.m_entries[aSnapshot.index - m_base - 1];
  return entry.term == aSnapshot.term;
}

std::optional<std::string>
LogReplay::Join(const std::optional<consensus::SnapshotMetaT>& aSnapshot)
{
  const std::uint64_t index = aSnapshot ? aSnapshot->index : 0;
  if (m_hasBase && m_base > index) {
    return "the log begins behind " + NameEntry(m_base) +
           ", but the newest snapshot ends at " + NameEntry(index);
  }
  if (!aSnapshot) {
    return std::nullopt;
  }
  m_log.m_snapshot = aSnapshot;
  auto& entries = m_log.m_entries;
  m_mustReset = !KeepsTail(*aSnapshot);
  const std::uint64_t dropped =
    m_mustReset ? entries.size() : aSnapshot->index - m_base;
  entries.erase(entries.begin(),
                entries.begin() + static_cast<std::ptrdiff_t>(dropped));
  m_base = aSnapshot->index;
  return std::nullopt;
}

} // namespace parsleycove
