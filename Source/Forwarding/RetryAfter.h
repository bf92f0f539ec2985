// When a refused caller should come back.
//
// Pattern: many callers are refused in one moment; if all came back at once
// they would be refused again.
#pragma once

#include <string>

#include "Base/Clock.h"

namespace parsleycove {

enum class RefusalCause;

// aDraw in [0, 1) spreads the callers. Never longer than a part of the time
// that the caller has left, or it would come back too late to be served.
Duration
ChooseRetryAfter(RefusalCause aCause, Duration aTimeLeft, double aDraw);

// Seconds with milliseconds, as the header takes them.
std::string
FormatSeconds(Duration aDuration);

} // namespace parsleycove
