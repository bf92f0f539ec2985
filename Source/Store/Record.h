// The checksummed records of which the store's files consist.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace parsleycove {

enum class RecordKind : std::uint8_t
{
  None,
  SegmentStart, // payload: number of the segment
  HardState,
  Entry,
  Reset,    // payload: a SnapshotMeta that the log starts anew behind
  SyncMark, // everything before it was written for one sync
  Identity,
  Snapshot, // a SnapshotMeta, followed by the state's bytes
};

// A record as found in a file; the payload points into the file's bytes.
struct Record
{
  RecordKind m_kind = RecordKind::None;
  std::span<const std::uint8_t> m_payload;
  std::size_t m_end = 0; // offset behind the record and its padding
};

// Records start at multiples of this.
inline constexpr std::size_t kRecordAlignmentBytes = 8;

// Appends a record to a buffer. The salt, the number of the file, is part of
// the checksum, so that a record of another file does not pass for one here.
void
AppendRecord(std::vector<std::uint8_t>& aBuffer,
             RecordKind aKind,
             std::uint64_t aSalt,
             std::span<const std::uint8_t> aPayload);

// Returns the record at an offset, or nothing if none is whole there.
std::optional<Record>
ReadRecord(std::span<const std::uint8_t> aFile,
           std::size_t aOffset,
           std::uint64_t aSalt);

std::uint64_t
Checksum(std::span<const std::uint8_t> aBytes, std::uint64_t aSalt = 0);

} // namespace parsleycove
