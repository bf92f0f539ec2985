// Operations on texts that several protocols need.
#pragma once

#include <string_view>

namespace parsleycove {

// Returns the text without blanks and tabs at its ends.
std::string_view
Trim(std::string_view aText);

} // namespace parsleycove
