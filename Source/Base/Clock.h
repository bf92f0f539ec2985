// The time source of every package: a clock that also runs during suspension.
#pragma once

#include <chrono>

namespace parsleycove {

// Reads CLOCK_BOOTTIME, so that a lease also ends while a VM is paused.
class BootClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true; // NOLINT: the standard's name

  static time_point now(); // NOLINT: the standard's name
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

// Hands the time to code that must not read a clock of its own.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  // Milliseconds since the Unix epoch, for retention and dates only.
  virtual unsigned long long UnixMs() const = 0;
};

// The clock of the machine.
class SystemClock final : public Clock
{
public:
  TimePoint Now() const override;
  unsigned long long UnixMs() const override;
};

} // namespace parsleycove
