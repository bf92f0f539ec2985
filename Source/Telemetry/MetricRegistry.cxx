// All metrics of the process, and their page.
#include "Telemetry/MetricRegistry.h"

#include <set>
#include <utility>

namespace parsleycove {

namespace {

template<typename List>
auto*
FindMetric(List& aList, const std::string& aName, const std::string& aLabels)
{
  for (auto& named : aList) {
    if (named.m_name == aName && named.m_labels == aLabels) {
      return &named.m_metric;
    }
  }
  return static_cast<decltype(&aList.front().m_metric)>(nullptr);
}

void
PrintType(std::string& aOut,
          std::set<std::string>& aSeen,
          const std::string& aName,
          const char* aType)
{
  if (aSeen.insert(aName).second) {
    aOut += "# TYPE " + aName + " " + aType + "\n";
  }
}

template<typename Named>
void
AppendLine(std::string& aOut, const Named& aNamed, const std::string& aValue)
{
  aOut.append(aNamed.m_name);
  if (!aNamed.m_labels.empty()) {
    aOut.append("{").append(aNamed.m_labels).append("}");
  }
  aOut.append(" ").append(aValue).append("\n");
}

} // namespace

Counter&
MetricRegistry::AddCounter(const std::string& aName, const std::string& aLabels)
{
  const std::lock_guard guard(m_mutex);
  if (Counter* known = FindMetric(m_counters, aName, aLabels)) {
    return *known;
  }
  auto& named = m_counters.emplace_back();
  named.m_name = aName;
  named.m_labels = aLabels;
  return named.m_metric;
}

LatencyHistogram&
MetricRegistry::AddHistogram(const std::string& aName,
                             const std::string& aLabels)
{
  const std::lock_guard guard(m_mutex);
  if (LatencyHistogram* known = FindMetric(m_histograms, aName, aLabels)) {
    return *known;
  }
  auto& named = m_histograms.emplace_back();
  named.m_name = aName;
  named.m_labels = aLabels;
  return named.m_metric;
}

void
MetricRegistry::AddGauge(const std::string& aName,
                         const std::string& aLabels,
                         std::function<double()> aReader)
{
  const std::lock_guard guard(m_mutex);
  auto& named = m_gauges.emplace_back();
  named.m_name = aName;
  named.m_labels = aLabels;
  named.m_metric = std::move(aReader);
}

std::string
MetricRegistry::Print() const
{
  const std::lock_guard guard(m_mutex);
  std::string out;
  std::set<std::string> seen;
  for (const auto& named : m_counters) {
    PrintType(out, seen, named.m_name, "counter");
    AppendLine(out, named, std::to_string(named.m_metric.load()));
  }
  for (const auto& named : m_gauges) {
    PrintType(out, seen, named.m_name, "gauge");
    AppendLine(out, named, std::to_string(named.m_metric()));
  }
  for (const auto& named : m_histograms) {
    PrintType(out, seen, named.m_name, "histogram");
    named.m_metric.Print(out, named.m_name, named.m_labels);
  }
  return out;
}

} // namespace parsleycove
