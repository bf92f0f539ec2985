// Chooses the Retry-After time of refused requests.
#pragma once

#include <string>

#include "Base/Clock.h"
#include "Routing/ReturnSchedule.h"

namespace parsleycove {

enum class RefusalCause;

// A refusal for which the caller needs to know when to return.
struct RefusedCaller
{
  RefusalCause m_cause;
  Duration m_timeLeft{};
  // Time until the first endpoint takes new work again; zero if none asked for
  // a pause. No caller is told to return before that.
  Duration m_pause{};
  // Random number in [0, 1) that spreads the callers.
  double m_draw = 0;
};

// Returns the time after which the caller should retry. Callers who wait for a
// place at an endpoint take their turn in aSchedule. Beyond a pause the time is
// limited to a part of what the caller has left, so that the retry can still be
// served.
Duration
ChooseRetryAfter(TimePoint aNow,
                 const RefusedCaller& aCaller,
                 ReturnSchedule& aSchedule);

// Formats seconds with three decimals for the Retry-After header.
std::string
FormatSeconds(Duration aDuration);

} // namespace parsleycove
