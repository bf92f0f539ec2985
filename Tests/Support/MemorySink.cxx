// Keeps the lines of a decision log.
#include "Support/MemorySink.h"

#include <algorithm>

namespace parsleycove {

bool
MemorySink::Has(const std::vector<std::string>& aTexts) const
{
  return std::any_of(
    m_lines.begin(), m_lines.end(), [&](const std::string& aLine) {
      return std::all_of(
        aTexts.begin(), aTexts.end(), [&](const std::string& aText) {
          return aLine.find(aText) != std::string::npos;
        });
    });
}

} // namespace parsleycove
