// Decides when a second copy of an idempotent call is sent.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "Base/Clock.h"
#include "Routing/RetryBudget.h"

namespace parsleycove {

// One per class and thread. A hedge goes out after the time within which 95 in
// 100 of the class's calls are answered, and only if the budget pays for it.
class HedgePolicy
{
public:
  explicit HedgePolicy(RetryBudget& aBudget);

  void RecordAnswer(Duration aLatency);
  // When a hedge of a call sent at aSentAt is due; nothing: no hedge.
  std::optional<TimePoint> HedgeTime(TimePoint aSentAt,
                                     bool aIdempotent,
                                     TimePoint aDeadline) const;
  // Pays for a hedge that is due; false: go on waiting for the first call.
  bool Spend() { return m_budget.Spend(); }

private:
  static constexpr std::size_t kBuckets = 96;

  Duration Percentile95() const;

  RetryBudget& m_budget;
  // Counts by duration; each bucket is a quarter of an octave wide.
  std::array<double, kBuckets> m_counts{};
  double m_total = 0;
};

} // namespace parsleycove
