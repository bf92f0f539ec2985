// The stored data of a test replica. Everything written here counts as synced.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Consensus/Replica.h"

namespace parsleycove::test {

struct MemoryDisk
{
  consensus::HardStateT m_hardState;
  std::optional<consensus::SnapshotMetaT> m_snapshot;
  std::vector<std::uint8_t> m_state; // state machine state in the snapshot
  std::vector<consensus::EntryT> m_entries;

  std::uint64_t BaseIndex() const { return m_snapshot ? m_snapshot->index : 0; }

  RestoredLog Restore() const { return { m_hardState, m_snapshot, m_entries }; }

  void Store(const Ready& aReady)
  {
    if (aReady.m_hardState) {
      m_hardState = *aReady.m_hardState;
    }
    if (!aReady.m_entries.empty()) {
      m_entries.resize(aReady.m_entries.front().index - BaseIndex() - 1);
    }
    m_entries.insert(
      m_entries.end(), aReady.m_entries.begin(), aReady.m_entries.end());
  }

  void Install(const consensus::SnapshotMetaT& aMeta,
               const std::vector<std::uint8_t>& aState,
               bool aKeepTail)
  {
    const std::uint64_t count = aMeta.index - BaseIndex();
    const auto end = aKeepTail ? m_entries.begin() + count : m_entries.end();
    m_entries.erase(m_entries.begin(), end);
    m_snapshot = aMeta;
    m_state = aState;
  }
};

} // namespace parsleycove::test
