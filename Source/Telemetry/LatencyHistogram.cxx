// Distribution of durations, safe to fill from several threads.
#include "Telemetry/LatencyHistogram.h"

#include <boost/histogram.hpp>

namespace parsleycove {

namespace histogram = boost::histogram;

namespace {

constexpr unsigned kBins = 24; // four a decade
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e2;
constexpr double kNanosecondsPerSecond = 1e9;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Count = histogram::accumulators::count<std::uint64_t, true>;

auto
MakeHistogram()
{
  return histogram::make_histogram_with(
    histogram::dense_storage<Count>(),
    Axis(kBins, kLowestSeconds, kHighestSeconds));
}

} // namespace

struct LatencyHistogram::Bins
{
  decltype(MakeHistogram()) m_histogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram()
  : m_bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Record(Duration aDuration)
{
  m_sumNs += static_cast<std::uint64_t>(aDuration.count());
  m_bins->m_histogram(static_cast<double>(aDuration.count()) /
                      kNanosecondsPerSecond);
}

void
LatencyHistogram::Print(std::string& aOut,
                        const std::string& aName,
                        const std::string& aLabels) const
{
  const auto& bins = m_bins->m_histogram;
  const auto& axis = bins.axis();
  const std::string comma = aLabels.empty() ? "" : ",";
  std::uint64_t cumulative = bins.at(-1).value();
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += bins.at(i).value();
    aOut += aName + "_bucket{" + aLabels + comma + "le=\"" +
            std::to_string(axis.bin(i).upper()) + "\"} " +
            std::to_string(cumulative) + "\n";
  }
  cumulative += bins.at(axis.size()).value();
  const std::string braces = aLabels.empty() ? "" : "{" + aLabels + "}";
  const double sum = static_cast<double>(m_sumNs) / kNanosecondsPerSecond;
  aOut += aName + "_bucket{" + aLabels + comma + "le=\"+Inf\"} " +
          std::to_string(cumulative) + "\n";
  aOut += aName + "_sum" + braces + " " + std::to_string(sum) + "\n";
  aOut += aName + "_count" + braces + " " + std::to_string(cumulative) + "\n";
}

} // namespace parsleycove
