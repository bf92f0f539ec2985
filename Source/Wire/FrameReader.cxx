// Cuts a stream of bytes into frames.
#include "Wire/FrameReader.h"

#include <string>
#include <utility>

#include <boost/endian/conversion.hpp>

namespace parsleycove {

FrameReader::FrameReader(std::size_t aMaxPayloadBytes)
  : m_maxPayloadBytes(aMaxPayloadBytes)
{
}

void
FrameReader::Append(std::span<const std::uint8_t> aBytes)
{
  m_buffer.erase(m_buffer.begin(),
                 m_buffer.begin() + static_cast<std::ptrdiff_t>(m_position));
  m_position = 0;
  m_buffer.insert(m_buffer.end(), aBytes.begin(), aBytes.end());
}

std::optional<ReceivedFrame>
FrameReader::Next()
{
  const std::size_t available = m_buffer.size() - m_position;
  if (HasFailed() || available < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const std::uint8_t* header = m_buffer.data() + m_position;
  const std::uint32_t length = boost::endian::load_little_u32(header);
  if (length > m_maxPayloadBytes) {
    return Fail(WireError::BadLength,
                "frame length " + std::to_string(length) +
                  ": expected at most " + std::to_string(m_maxPayloadBytes));
  }
  if (header[4] > static_cast<std::uint8_t>(FrameKind::PackedFeed)) {
    return Fail(WireError::BadKind,
                "frame kind " + std::to_string(header[4]) +
                  ": expected heartbeat, peer or feed");
  }
  if (available < kFrameHeaderBytes + length) {
    return std::nullopt;
  }
  const auto kind = static_cast<FrameKind>(header[4]);
  const std::span<const std::uint8_t> payload(header + kFrameHeaderBytes,
                                              length);
  if (ComputeFrameChecksum(kind, payload) !=
      boost::endian::load_little_u32(header + 5)) {
    return Fail(WireError::BadChecksum,
                "frame checksum: expected the CRC-32 of kind and payload");
  }
  m_position += kFrameHeaderBytes + length;
  return ReceivedFrame{ kind, payload };
}

std::optional<ReceivedFrame>
FrameReader::Fail(WireError aError, std::string aText)
{
  m_reason.Set(aError, std::move(aText));
  return std::nullopt;
}

} // namespace parsleycove
