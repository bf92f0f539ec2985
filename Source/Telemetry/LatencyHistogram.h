// Distribution of durations, safe to fill from several threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "Base/Clock.h"

namespace parsleycove {

// Counts durations in logarithmic bins from 0.1 ms to 100 s.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void Record(Duration aDuration);
  // Appends the lines of a Prometheus histogram; labels without braces.
  void Print(std::string& aOut,
             const std::string& aName,
             const std::string& aLabels) const;

private:
  struct Bins;
  std::unique_ptr<Bins> m_bins;
  std::atomic<std::uint64_t> m_sumNs{ 0 };
};

} // namespace parsleycove
