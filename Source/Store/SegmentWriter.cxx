// The segment files of the log: the last one grows, old ones are deleted.
#include "Store/SegmentWriter.h"

#include <algorithm>
#include <cstring>

#include "Store/FileWrite.h"
#include "Store/FolderScan.h"

namespace parsleycove {

namespace {

constexpr std::uint64_t kMaxSegmentBytes = 8UL * 1024 * 1024;

} // namespace

SegmentWriter::SegmentWriter(Files& aFiles, std::string aFolder)
  : m_files(aFiles)
  , m_folder(std::move(aFolder))
{
}

void
SegmentWriter::Adopt(std::uint64_t aNumber,
                     std::uint64_t aMaxIndex,
                     std::uint64_t aBytes)
{
  m_segments.push_back({ aNumber, aMaxIndex, aBytes });
}

bool
SegmentWriter::Resume(std::span<const std::uint8_t> aValidBytes,
                      StoreReason& aReason)
{
  const std::string name = NameSegment(m_segments.back().m_number);
  if (!WriteWhole(m_files, m_folder, name, aValidBytes, aReason)) {
    return false;
  }
  m_file = m_files.OpenAppend(m_folder + "/" + name, aReason);
  return m_file != nullptr;
}

void
SegmentWriter::Add(RecordKind aKind,
                   std::span<const std::uint8_t> aPayload,
                   std::uint64_t aIndex)
{
  Segment& segment = m_segments.back();
  segment.m_maxIndex = std::max(segment.m_maxIndex, aIndex);
  AppendRecord(m_buffer, aKind, segment.m_number, aPayload);
}

bool
SegmentWriter::Sync(StoreReason& aReason)
{
  if (m_buffer.empty()) {
    return true;
  }
  Add(RecordKind::SyncMark, {});
  Segment& segment = m_segments.back();
  const bool isNew = m_file == nullptr;
  if (isNew) {
    const std::string name = NameSegment(segment.m_number);
    m_file = m_files.OpenAppend(m_folder + "/" + name, aReason);
  }
  const bool synced = m_file && m_file->Append(m_buffer, aReason) &&
                      m_file->Sync(aReason) &&
                      (!isNew || m_files.SyncFolder(m_folder, aReason));
  segment.m_bytes += m_buffer.size();
  m_buffer.clear();
  return synced;
}

void
SegmentWriter::BeginNext()
{
  const std::uint64_t number =
    m_segments.empty() ? 1 : m_segments.back().m_number + 1;
  m_segments.push_back({ number, 0, 0 });
  m_file = nullptr;
  std::vector<std::uint8_t> payload(sizeof(number));
  std::memcpy(payload.data(), &number, sizeof(number));
  Add(RecordKind::SegmentStart, payload);
}

bool
SegmentWriter::IsFull() const
{
  return m_segments.back().m_bytes >= kMaxSegmentBytes;
}

bool
SegmentWriter::DeleteUpTo(std::uint64_t aIndex, StoreReason& aReason)
{
  while (m_segments.size() > 1 && m_segments.front().m_maxIndex <= aIndex) {
    const std::string name = NameSegment(m_segments.front().m_number);
    if (!m_files.Remove(m_folder + "/" + name, aReason)) {
      return false;
    }
    m_segments.erase(m_segments.begin());
  }
  return m_files.SyncFolder(m_folder, aReason);
}

std::uint64_t
SegmentWriter::CountBytes() const
{
  std::uint64_t bytes = 0;
  for (const Segment& segment : m_segments) {
    bytes += segment.m_bytes;
  }
  return bytes;
}

} // namespace parsleycove
