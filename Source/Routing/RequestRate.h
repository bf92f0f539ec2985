// Estimates how many requests a second something gets.
#pragma once

#include "Base/Clock.h"

namespace parsleycove {

// Exponential average over the time between requests. A rate that has changed
// is followed within a few times kTimeConstant.
//
// Not thread-safe; used by one thread.
class RequestRate
{
public:
  static constexpr Duration kTimeConstant = std::chrono::seconds(5);

  void Record(TimePoint aNow);
  // Returns the requests a second; 0 before the first one.
  double PerSecond(TimePoint aNow) const;

private:
  double m_perSecond = 0;
  // Time of m_perSecond.
  TimePoint m_at{};
};

} // namespace parsleycove
