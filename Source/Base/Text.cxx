// Operations on texts that several protocols need.
#include "Base/Text.h"

namespace parsleycove {

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  const auto last = aText.find_last_not_of(" \t");
  return first == std::string_view::npos
           ? std::string_view{}
           : aText.substr(first, last - first + 1);
}

} // namespace parsleycove
