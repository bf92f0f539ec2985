// Message digests.
#pragma once

#include <string>
#include <string_view>

namespace parsleycove {

// Returns SHA-256 in lower-case hex.
std::string
Sha256Hex(std::string_view aText);

} // namespace parsleycove
