// The checksummed records of which the store's files consist.
#include "Store/Record.h"

#include <cstring>

#include <xxhash.h>

namespace parsleycove {

namespace {

// On disk in the machine's byte order; a data folder stays on its VM.
struct Header
{
  std::uint64_t m_checksum; // over what follows, and the payload
  std::uint32_t m_size;     // of the payload, without padding
  std::uint32_t m_kind;
};
static_assert(sizeof(Header) == 16);

constexpr std::size_t kChecksummedHeaderBytes = 8;

std::size_t
Align(std::size_t aSize)
{
  return (aSize + kRecordAlignmentBytes - 1) / kRecordAlignmentBytes *
         kRecordAlignmentBytes;
}

std::uint64_t
ChecksumRecord(const Header& aHeader,
               std::uint64_t aSalt,
               std::span<const std::uint8_t> aPayload)
{
  const std::uint64_t head =
    XXH3_64bits_withSeed(&aHeader.m_size, kChecksummedHeaderBytes, aSalt);
  return Checksum(aPayload, head);
}

} // namespace

std::uint64_t
Checksum(std::span<const std::uint8_t> aBytes, std::uint64_t aSalt)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSalt);
}

void
AppendRecord(std::vector<std::uint8_t>& aBuffer,
             RecordKind aKind,
             std::uint64_t aSalt,
             std::span<const std::uint8_t> aPayload)
{
  Header header{};
  header.m_size = static_cast<std::uint32_t>(aPayload.size());
  header.m_kind = static_cast<std::uint32_t>(aKind);
  header.m_checksum = ChecksumRecord(header, aSalt, aPayload);
  const std::size_t start = aBuffer.size();
  aBuffer.resize(start + sizeof(header) + Align(aPayload.size()));
  std::memcpy(aBuffer.data() + start, &header, sizeof(header));
  if (!aPayload.empty()) {
    std::memcpy(aBuffer.data() + start + sizeof(header),
                aPayload.data(),
                aPayload.size());
  }
}

std::optional<Record>
ReadRecord(std::span<const std::uint8_t> aFile,
           std::size_t aOffset,
           std::uint64_t aSalt)
{
  Header header{};
  if (aOffset > aFile.size() || aFile.size() - aOffset < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, aFile.data() + aOffset, sizeof(header));
  const std::size_t start = aOffset + sizeof(header);
  if (aFile.size() - start < Align(header.m_size)) {
    return std::nullopt;
  }
  const auto payload = aFile.subspan(start, header.m_size);
  if (header.m_checksum != ChecksumRecord(header, aSalt, payload)) {
    return std::nullopt;
  }
  return Record{ static_cast<RecordKind>(header.m_kind),
                 payload,
                 start + Align(header.m_size) };
}

} // namespace parsleycove
