// A retry budget that all gateways keep together, each with its own part.
//
// Pattern: endpoints fail or refuse on a large scale, and every gateway would
// send its requests a second time.
#pragma once

#include <array>
#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

struct WindowedBudgetSettings
{
  Duration m_window = std::chrono::seconds(10);
  // Repeats allowed for each request of the window.
  double m_ratio = 0.2;
  // Repeats of all gateways together that need no request.
  double m_slack = 100;
  // Part of both that is used; the rest covers gateways that have joined and
  // are not counted yet.
  double m_safetyFactor = 0.85;
};

// What an earlier process of this VM spent is not known, so the slack grows
// over the first window.
//
// Invariant: in any window the granted repeats are at most the ratio of the
// window's requests plus this gateway's part of the slack.
class WindowedBudget
{
public:
  explicit WindowedBudget(WindowedBudgetSettings aSettings,
                          TimePoint aStartedAt = {});

  void RecordRequest(TimePoint aNow);
  // Pays for one repeat; false when the budget is spent. aGateways: size of
  // the fleet, at least 1.
  bool Spend(TimePoint aNow, std::uint32_t aGateways);
  double Remaining(TimePoint aNow, std::uint32_t aGateways);

private:
  struct Slice
  {
    std::uint32_t m_requests = 0;
    std::uint32_t m_retries = 0;
  };
  static constexpr std::size_t kSlices = 20;

  void Advance(TimePoint aNow);

  const WindowedBudgetSettings m_settings;
  std::array<Slice, kSlices> m_slices{};
  std::int64_t m_slice = 0;
  TimePoint m_startedAt{};
  // Sums over m_slices.
  std::uint32_t m_requests = 0;
  std::uint32_t m_retries = 0;
};

} // namespace parsleycove
