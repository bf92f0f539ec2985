// All metrics of the process, and their page.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

#include "Telemetry/LatencyHistogram.h"

namespace parsleycove {

using Counter = std::atomic<std::uint64_t>;

// Hands out metrics that live as long as the registry.
//
// Call Add… at start-up or on first use and keep the reference; it takes a lock
// that the path of a request should not meet.
class MetricRegistry
{
public:
  // Labels in Prometheus form without braces, for example `code="ok"`. The
  // same name and labels give the same metric.
  Counter& AddCounter(const std::string& aName, const std::string& aLabels);
  LatencyHistogram& AddHistogram(const std::string& aName,
                                 const std::string& aLabels);
  // The reader is called when the page is printed.
  void AddGauge(const std::string& aName,
                const std::string& aLabels,
                std::function<double()> aReader);

  // Returns the page in Prometheus text form.
  std::string Print() const;

private:
  template<typename Metric>
  struct Named
  {
    std::string m_name;
    std::string m_labels;
    Metric m_metric;
  };

  mutable std::mutex m_mutex;
  std::deque<Named<Counter>> m_counters;
  std::deque<Named<LatencyHistogram>> m_histograms;
  std::deque<Named<std::function<double()>>> m_gauges;
};

} // namespace parsleycove
