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

// Appends one line; the labels end with a comma, or are empty.
void
AppendBucket(std::string& aOut,
             const std::string& aName,
             const std::string& aLabels,
             const std::string& aUpper,
             std::uint64_t aCount)
{
  aOut.append(aName).append("_bucket{").append(aLabels);
  aOut.append("le=\"").append(aUpper).append("\"} ");
  aOut.append(std::to_string(aCount)).append("\n");
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
  const std::string labels = aLabels.empty() ? "" : aLabels + ",";
  std::uint64_t cumulative = bins.at(-1).value();
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += bins.at(i).value();
    AppendBucket(
      aOut, aName, labels, std::to_string(axis.bin(i).upper()), cumulative);
  }
  cumulative += bins.at(axis.size()).value();
  const std::string braces = aLabels.empty() ? "" : "{" + aLabels + "}";
  const double sum = static_cast<double>(m_sumNs) / kNanosecondsPerSecond;
  AppendBucket(aOut, aName, labels, "+Inf", cumulative);
  aOut += aName + "_sum" + braces + " " + std::to_string(sum) + "\n";
  aOut += aName + "_count" + braces + " " + std::to_string(cumulative) + "\n";
}

} // namespace parsleycove
