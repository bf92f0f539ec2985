// When the soak harmed what.
#include "Soak/SoakHarms.h"

#include <algorithm>

namespace parsleycove {

void
SoakHarms::Note(const std::string& aWho, TimePoint aFrom, TimePoint aTo)
{
  m_spans[aWho].push_back({ aFrom, aTo });
}

bool
SoakHarms::Meets(const std::string& aWho, TimePoint aFrom, TimePoint aTo) const
{
  const auto found = m_spans.find(aWho);
  return found != m_spans.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const Span& aSpan) {
             return aSpan.m_from <= aTo && aSpan.m_to >= aFrom;
           });
}

} // namespace parsleycove
