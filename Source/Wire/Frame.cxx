// One message as it travels over TCP: length, kind, CRC-32 and payload.
#include "Wire/Frame.h"

#include <algorithm>

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

namespace parsleycove {

std::uint32_t
ComputeFrameChecksum(FrameKind aKind, std::span<const std::uint8_t> aPayload)
{
  boost::crc_32_type crc;
  crc.process_byte(static_cast<unsigned char>(aKind));
  crc.process_bytes(aPayload.data(), aPayload.size());
  return crc.checksum();
}

Frame::Frame(FrameKind aKind, std::span<const std::uint8_t> aPayload)
  : m_bytes(kFrameHeaderBytes + aPayload.size())
{
  std::uint8_t* out = m_bytes.data();
  boost::endian::store_little_u32(out,
                                  static_cast<std::uint32_t>(aPayload.size()));
  out[4] = static_cast<std::uint8_t>(aKind);
  boost::endian::store_little_u32(out + 5,
                                  ComputeFrameChecksum(aKind, aPayload));
  std::copy(aPayload.begin(), aPayload.end(), out + kFrameHeaderBytes);
}

} // namespace parsleycove
