// Makes large payloads small for their way to many processes.
#include "Wire/Packing.h"

#include <boost/endian/conversion.hpp>
#include <zlib.h>

namespace parsleycove {

namespace {

constexpr std::size_t kSizeBytes = 4;
// Configurations shrink to a tenth at this level; higher ones take several
// times as long for little more.
constexpr int kLevel = 2;

} // namespace

std::vector<std::uint8_t>
Pack(std::span<const std::uint8_t> aPayload)
{
  uLongf size = compressBound(aPayload.size());
  std::vector<std::uint8_t> packed(kSizeBytes + size);
  boost::endian::store_little_u32(packed.data(),
                                  static_cast<std::uint32_t>(aPayload.size()));
  // Cannot fail: the buffer has the size that the library asks for.
  compress2(packed.data() + kSizeBytes,
            &size,
            aPayload.data(),
            aPayload.size(),
            kLevel);
  packed.resize(kSizeBytes + size);
  return packed;
}

std::optional<std::vector<std::uint8_t>>
Unpack(std::span<const std::uint8_t> aPacked, std::size_t aMaxBytes)
{
  if (aPacked.size() < kSizeBytes) {
    return std::nullopt;
  }
  const std::size_t expected = boost::endian::load_little_u32(aPacked.data());
  if (expected > aMaxBytes) {
    return std::nullopt;
  }
  std::vector<std::uint8_t> payload(expected);
  uLongf size = expected;
  const int result = uncompress(payload.data(),
                                &size,
                                aPacked.data() + kSizeBytes,
                                aPacked.size() - kSizeBytes);
  if (result != Z_OK || size != expected) {
    return std::nullopt;
  }
  return payload;
}

} // namespace parsleycove
