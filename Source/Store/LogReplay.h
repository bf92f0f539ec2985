// Builds the log again from the records of its segments.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Consensus/Replica.h"
#include "Store/Record.h"

namespace parsleycove {

class LogReplay
{
public:
  // Returns what is wrong with a record, or nothing.
  std::optional<std::string> Take(const Record& aRecord);
  // Joins the log with the newest snapshot; returns what does not fit.
  std::optional<std::string> Join(
    const std::optional<consensus::SnapshotMetaT>& aSnapshot);

  // The highest index among the entries since the last call.
  std::uint64_t TakeMaxIndex();
  // The segments' entries end before the snapshot or contradict it, so that
  // the log must be marked to start anew behind it.
  bool MustReset() const { return m_mustReset; }
  RestoredLog& Log() { return m_log; }
  bool IsEmpty() const { return m_log.m_entries.empty(); }

private:
  std::optional<std::string> TakeEntry(consensus::EntryT aEntry);
  bool KeepsTail(const consensus::SnapshotMetaT& aSnapshot) const;

  RestoredLog m_log;
  std::uint64_t m_base = 0; // index before the first entry
  bool m_hasBase = false;
  bool m_mustReset = false;
  std::uint64_t m_maxIndex = 0;
};

} // namespace parsleycove
