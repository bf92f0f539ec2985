// Load figures that are reported with a lag, as those of real engines are.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace parsleycove::fakes {

struct Load
{
  std::uint32_t m_queued = 0;
  std::uint32_t m_running = 0;
};

// Remembers the load and reports what it was one lag ago.
class LoadReports
{
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit LoadReports(std::chrono::milliseconds aLag)
    : m_lag(aLag)
  {
  }

  void Record(Time aNow, Load aLoad);
  Load Report(Time aNow);

private:
  struct Sample
  {
    Time m_time;
    Load m_load;
  };

  const std::chrono::milliseconds m_lag;
  std::deque<Sample> m_samples; // in order of time
};

} // namespace parsleycove::fakes
