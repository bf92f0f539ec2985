// Limits how often a log line that stays the same is repeated.
#pragma once

#include <string>

#include "Base/Clock.h"

namespace parsleycove {

// Lets a line pass when it differs from the line before, and again every
// interval while it stays the same, so that a lasting fault stays visible.
class LineRepeater
{
public:
  explicit LineRepeater(Duration aInterval)
    : m_interval(aInterval)
  {
  }

  // Returns whether to log aLine now. An empty line ends the previous one and
  // is not logged.
  bool IsDue(TimePoint aNow, const std::string& aLine);

private:
  const Duration m_interval;
  std::string m_last; // empty if there is no fault
  TimePoint m_loggedAt{};
};

} // namespace parsleycove
