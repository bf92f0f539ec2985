// Limits how often a log line that stays the same is repeated.
#include "Control/LineRepeater.h"

namespace parsleycove {

bool
LineRepeater::IsDue(TimePoint aNow, const std::string& aLine)
{
  const bool isRepeated = aLine == m_last;
  m_last = aLine;
  if (aLine.empty() || (isRepeated && aNow - m_loggedAt < m_interval)) {
    return false;
  }
  m_loggedAt = aNow;
  return true;
}

} // namespace parsleycove
