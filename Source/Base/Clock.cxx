// The time source of every package: a clock that also runs during suspension.
#include "Base/Clock.h"

#include <ctime>

namespace parsleycove {

BootClock::time_point
BootClock::now()
{
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  return time_point(std::chrono::seconds(spec.tv_sec) +
                    std::chrono::nanoseconds(spec.tv_nsec));
}

TimePoint
SystemClock::Now() const
{
  return BootClock::now();
}

unsigned long long
SystemClock::UnixMs() const
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch)
    .count();
}

} // namespace parsleycove
