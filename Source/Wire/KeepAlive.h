// The Keep-Alive field of an answer.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace parsleycove {

// Returns for how long the sender keeps an idle connection, from a field such
// as "timeout=5, max=100", or std::nullopt if the field does not say so. Names
// of parameters are compared without regard to case.
std::optional<std::chrono::seconds>
ReadIdleLimit(std::string_view aKeepAlive);

} // namespace parsleycove
