// Makes large payloads small for their way to many processes.
//
// Pattern: a configuration of a thousand routes goes to ninety VMs on links of
// 20 Mbit/s, several versions in a row. Unpacked, each takes 0.2 s of every
// link, and what else passes there waits behind it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace parsleycove {

// Payloads below this are sent as they are, in bytes.
inline constexpr std::size_t kLeastPackedBytes = 8UL * 1024;

// The payload's size and a zlib stream of it.
std::vector<std::uint8_t>
Pack(std::span<const std::uint8_t> aPayload);

// Empty when the bytes are not a packed payload of at most aMaxBytes.
std::optional<std::vector<std::uint8_t>>
Unpack(std::span<const std::uint8_t> aPacked, std::size_t aMaxBytes);

} // namespace parsleycove
