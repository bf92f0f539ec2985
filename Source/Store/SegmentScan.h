// The records of one segment file, and what its end looks like.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "Store/Record.h"

namespace parsleycove {

enum class SegmentEnd
{
  Clean,   // the last record ends with the file
  Torn,    // a broken record, and nothing valid behind it
  Damaged, // a broken record with valid ones behind it
};

struct SegmentScan
{
  std::vector<Record> m_records;
  SegmentEnd m_end = SegmentEnd::Clean;
  std::size_t m_validBytes = 0;
  // Up to and with the last SyncMark.
  std::size_t m_syncedRecords = 0;
  std::size_t m_syncedBytes = 0;
};

// Reads the records up to the first broken one.
//
// Every sync ends with a SyncMark, so a broken record that was ever synced has
// a valid one behind it: one that has none was never acknowledged.
SegmentScan
ScanSegment(std::span<const std::uint8_t> aFile, std::uint64_t aNumber);

} // namespace parsleycove
