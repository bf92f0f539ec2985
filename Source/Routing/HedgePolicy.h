// Decides when a hedge, a second copy of an idempotent call, is sent.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "Base/Clock.h"
#include "Routing/RetryBudget.h"

namespace parsleycove {

// One instance per class and thread. A hedge is sent after the time within
// which 95 of 100 calls of the class are answered, and only if the retry budget
// allows it.
class HedgePolicy
{
public:
  explicit HedgePolicy(RetryBudget& aBudget);

  void RecordAnswer(Duration aLatency);
  // Returns the time at which a hedge of a call sent at aSentAt is due, or
  // std::nullopt if the call is not hedged.
  std::optional<TimePoint> HedgeTime(TimePoint aSentAt,
                                     bool aIdempotent,
                                     TimePoint aDeadline) const;
  // Takes a token for a hedge that is due. Returns false if the retry budget is
  // exhausted; then no hedge is sent.
  bool Spend() { return m_budget.Spend(); }

private:
  static constexpr std::size_t kBuckets = 96;

  Duration Percentile95() const;

  RetryBudget& m_budget;
  // Number of answers by latency; each bucket is a quarter of an octave wide.
  std::array<double, kBuckets> m_counts{};
  double m_total = 0;
};

} // namespace parsleycove
