// The segment files of the log: the last one grows, old ones are deleted.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "Store/Files.h"
#include "Store/Record.h"

namespace parsleycove {

class SegmentWriter
{
public:
  SegmentWriter(Files& aFiles, std::string aFolder);

  // Takes over a segment as it was read; by rising number.
  void Adopt(std::uint64_t aNumber,
             std::uint64_t aMaxIndex,
             std::uint64_t aBytes);
  // Writes the last segment's valid bytes as a new file and goes on in it.
  // What an earlier process failed to sync is on the disk afterwards, and a
  // torn tail is gone.
  bool Resume(std::span<const std::uint8_t> aValidBytes, StoreReason& aReason);
  bool IsStarted() const { return m_file != nullptr; }
  bool HasSegments() const { return !m_segments.empty(); }

  // Adds a record to the next sync; aIndex is an entry's, otherwise 0.
  void Add(RecordKind aKind,
           std::span<const std::uint8_t> aPayload,
           std::uint64_t aIndex = 0);
  // Writes and syncs what was added.
  bool Sync(StoreReason& aReason);
  // Starts the next segment; what is added until Sync becomes its head.
  void BeginNext();

  bool IsFull() const;
  // Deletes the oldest segments that hold no entry behind aIndex.
  bool DeleteUpTo(std::uint64_t aIndex, StoreReason& aReason);
  std::uint64_t CountBytes() const;

private:
  struct Segment
  {
    std::uint64_t m_number = 0;
    std::uint64_t m_maxIndex = 0; // of all its entries, replaced ones too
    std::uint64_t m_bytes = 0;
  };

  Files& m_files;
  std::string m_folder;
  std::vector<Segment> m_segments;    // the last one is written to
  std::unique_ptr<AppendFile> m_file; // null: not created yet
  std::vector<std::uint8_t> m_buffer; // not written yet
};

} // namespace parsleycove
