// Decides when a second copy of an idempotent call is sent.
#include "Routing/HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

constexpr double kSmallestBucketNs = 50'000;
constexpr double kBucketsPerOctave = 4.0;
constexpr double kMinSamples = 20.0;
// Older answers count half once this many are held.
constexpr double kMaxSamples = 1000.0;
constexpr double kHedgedShare = 0.05;

} // namespace

HedgePolicy::HedgePolicy(RetryBudget& aBudget)
  : m_budget(aBudget)
{
}

void
HedgePolicy::RecordAnswer(Duration aLatency)
{
  const double ratio =
    std::max(1.0, static_cast<double>(aLatency.count()) / kSmallestBucketNs);
  const auto bucket =
    static_cast<std::size_t>(std::log2(ratio) * kBucketsPerOctave);
  m_counts[std::min(bucket, kBuckets - 1)] += 1.0;
  m_total += 1.0;
  if (m_total < kMaxSamples) {
    return;
  }
  for (double& count : m_counts) {
    count /= 2.0;
  }
  m_total /= 2.0;
}

Duration
HedgePolicy::Percentile95() const
{
  double above = 0;
  std::size_t bucket = kBuckets;
  while (bucket > 0 && above + m_counts[bucket - 1] <= m_total * kHedgedShare) {
    --bucket;
    above += m_counts[bucket];
  }
  const double octaves = static_cast<double>(bucket) / kBucketsPerOctave;
  return Duration(
    static_cast<std::int64_t>(kSmallestBucketNs * std::exp2(octaves)));
}

std::optional<TimePoint>
HedgePolicy::HedgeTime(TimePoint aSentAt,
                       bool aIdempotent,
                       TimePoint aDeadline) const
{
  if (!aIdempotent || m_total < kMinSamples) {
    return std::nullopt;
  }
  const TimePoint due = aSentAt + Percentile95();
  if (due >= aDeadline) {
    return std::nullopt;
  }
  return due;
}

} // namespace parsleycove
