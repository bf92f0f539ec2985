// Limits the retries of all gateways together; each gateway spends its own part
// of the budget.
//
// Fault pattern: endpoints fail or refuse requests on a large scale, and every
// gateway would send all its requests a second time.
#pragma once

#include <array>
#include <cstdint>

#include "Base/Clock.h"

namespace parsleycove {

struct WindowedBudgetSettings
{
  Duration m_window = std::chrono::seconds(10);
  // Retries allowed for each request of the window.
  double m_ratio = 0.2;
  // Retries of all gateways together that are allowed regardless of the number
  // of requests.
  double m_slack = 100;
  // Fraction of both limits that is used; the rest covers gateways that have
  // joined but are not counted yet.
  double m_safetyFactor = 0.85;
};

// Retry budget over a sliding window. The retries of an earlier process of this
// VM are not known, so the slack grows over the first window.
//
// Invariant: in any window the granted retries are at most the ratio of the
// window's requests plus this gateway's part of the slack.
class WindowedBudget
{
public:
  explicit WindowedBudget(WindowedBudgetSettings aSettings,
                          TimePoint aStartedAt = {});

  void RecordRequest(TimePoint aNow);
  // Spends one retry. Returns false if the budget is exhausted. aGateways:
  // number of gateways in the fleet, at least 1.
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
