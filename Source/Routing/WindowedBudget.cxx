// A retry budget that all gateways keep together, each with its own part.
#include "Routing/WindowedBudget.h"

#include <algorithm>

namespace parsleycove {

namespace {

// Part of the slack that a process has at its start; less than the caution
// leaves.
constexpr double kInitialSlackFraction = 0.12;

} // namespace

WindowedBudget::WindowedBudget(WindowedBudgetSettings aSettings,
                               TimePoint aStartedAt)
  : m_settings(aSettings)
  , m_startedAt(aStartedAt)
{
}

void
WindowedBudget::Advance(TimePoint aNow)
{
  // The slices before the present one cover a whole window together.
  const Duration length = m_settings.m_window / (kSlices - 1);
  const std::int64_t slice = aNow.time_since_epoch().count() /
                             std::max<Duration::rep>(length.count(), 1);
  const std::int64_t passed =
    std::clamp<std::int64_t>(slice - m_slice, 0, kSlices);
  for (std::int64_t i = 1; i <= passed; ++i) {
    Slice& old = m_slices[static_cast<std::size_t>(m_slice + i) % kSlices];
    m_requests -= old.m_requests;
    m_retries -= old.m_retries;
    old = {};
  }
  m_slice = std::max(m_slice, slice);
}

void
WindowedBudget::RecordRequest(TimePoint aNow)
{
  Advance(aNow);
  ++m_slices[static_cast<std::size_t>(m_slice) % kSlices].m_requests;
  ++m_requests;
}

double
WindowedBudget::Remaining(TimePoint aNow, std::uint32_t aGateways)
{
  Advance(aNow);
  const double grown =
    std::chrono::duration<double>(aNow - m_startedAt) / m_settings.m_window;
  const double part = m_settings.m_slack / std::max(1U, aGateways) *
                      std::clamp(grown, kInitialSlackFraction, 1.0);
  return m_settings.m_safetyFactor * (m_settings.m_ratio * m_requests + part) -
         m_retries;
}

bool
WindowedBudget::Spend(TimePoint aNow, std::uint32_t aGateways)
{
  if (Remaining(aNow, aGateways) < 1) {
    return false;
  }
  ++m_slices[static_cast<std::size_t>(m_slice) % kSlices].m_retries;
  ++m_retries;
  return true;
}

} // namespace parsleycove
