// Counts connections that were given up or turned away for lack of places.
#include "Forwarding/ConnectionLosses.h"

#include <utility>

#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

constexpr Duration kLineInterval = std::chrono::seconds(1);

} // namespace

ConnectionLosses::ConnectionLosses(MetricRegistry& aMetrics,
                                   std::string aListener)
  : m_listener(std::move(aListener))
{
  for (std::size_t i = 0; i < m_kinds.size(); ++i) {
    m_kinds[i].m_total =
      &aMetrics.AddCounter("parsleycove_connections_lost_total",
                           "listener=\"" + m_listener + "\",why=\"" +
                             std::string(kPlaceLossNames[i].m_name) + "\"");
  }
}

void
ConnectionLosses::Count(PlaceLoss aLoss, TimePoint aNow)
{
  const auto row = static_cast<std::size_t>(aLoss);
  Kind& kind = m_kinds[row];
  ++*kind.m_total;
  ++kind.m_sinceLine;
  if (aNow >= kind.m_nextLine) {
    kind.m_nextLine = aNow + kLineInterval;
    Log(LogLevel::Warning,
        "connections were closed for lack of places",
        { { "listener", m_listener },
          { "why", std::string(kPlaceLossNames[row].m_name) },
          { "connections",
            std::to_string(std::exchange(kind.m_sinceLine, 0)) } });
  }
}

std::shared_ptr<ConnectionPlaces>
MakeCountedPlaces(std::size_t aLimit,
                  MetricRegistry& aMetrics,
                  const std::string& aListener)
{
  const auto losses = std::make_shared<ConnectionLosses>(aMetrics, aListener);
  return std::make_shared<ConnectionPlaces>(
    aLimit,
    [losses](PlaceLoss aLoss, TimePoint aNow) { losses->Count(aLoss, aNow); });
}

} // namespace parsleycove
