// The records of one segment file, and what its end looks like.
#include "Store/SegmentScan.h"

namespace parsleycove {

namespace {

bool
HasRecordBehind(std::span<const std::uint8_t> aFile,
                std::size_t aOffset,
                std::uint64_t aNumber)
{
  std::size_t offset = aOffset + kRecordAlignmentBytes;
  for (; offset < aFile.size(); offset += kRecordAlignmentBytes) {
    if (ReadRecord(aFile, offset, aNumber)) {
      return true;
    }
  }
  return false;
}

} // namespace

SegmentScan
ScanSegment(std::span<const std::uint8_t> aFile, std::uint64_t aNumber)
{
  SegmentScan scan;
  while (scan.m_validBytes < aFile.size()) {
    const auto record = ReadRecord(aFile, scan.m_validBytes, aNumber);
    if (!record) {
      const bool behind = HasRecordBehind(aFile, scan.m_validBytes, aNumber);
      scan.m_end = behind ? SegmentEnd::Damaged : SegmentEnd::Torn;
      break;
    }
    scan.m_records.push_back(*record);
    scan.m_validBytes = record->m_end;
    if (record->m_kind == RecordKind::SyncMark) {
      scan.m_syncedRecords = scan.m_records.size();
      scan.m_syncedBytes = scan.m_validBytes;
    }
  }
  return scan;
}

} // namespace parsleycove
