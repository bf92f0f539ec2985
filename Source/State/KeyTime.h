// The time that an idempotency key carries.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleycove {

// Milliseconds since the Unix epoch of a UUID of version 7; nothing for any
// other key.
std::optional<std::uint64_t>
ReadKeyTime(std::string_view aKey);

} // namespace parsleycove
