// Counts connections that were given up or turned away for lack of places. Load
// pattern: clients that keep to no limit cause thousands of them a second, and
// a log line for each would itself be load.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "Base/Clock.h"
#include "Forwarding/ConnectionPlaces.h"
#include "Telemetry/MetricRegistry.h"

namespace parsleycove {

class ConnectionLosses
{
public:
  // aListener names the listener in metrics and log lines.
  ConnectionLosses(MetricRegistry& aMetrics, std::string aListener);

  // Logs at most one line per kind and second, with the number of connections
  // since the line before.
  void Count(PlaceLoss aLoss, TimePoint aNow);

private:
  struct Kind
  {
    Counter* m_total = nullptr;
    std::uint64_t m_sinceLine = 0;
    TimePoint m_nextLine{};
  };

  const std::string m_listener;
  std::array<Kind, kPlaceLossNames.size()> m_kinds{};
};

// Returns the places of a listener, whose losses are counted.
std::shared_ptr<ConnectionPlaces>
MakeCountedPlaces(std::size_t aLimit,
                  MetricRegistry& aMetrics,
                  const std::string& aListener);

} // namespace parsleycove
