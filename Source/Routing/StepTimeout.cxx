// How long a stage may stay silent.
#include "Routing/StepTimeout.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr Duration kMinStepTimeout = std::chrono::milliseconds(100);
constexpr Duration kMaxStepTimeout = std::chrono::seconds(30);
constexpr int kTimeoutIntervals = 4;

} // namespace

Duration
ComputeStepTimeout(const ClassTargets& aTargets,
                   const Runner& aRunner,
                   const EngineStep& aStep,
                   bool aIsFirstToken)
{
  const RunnerLoad& load = *aRunner.m_load;
  Duration timeout =
    kTimeoutIntervals * std::max(aTargets.m_tokenInterval, load.RoundTrip());
  if (aStep.m_position == 0 || aStep.m_count > 1) {
    const double rate = std::max(1.0, aRunner.m_tokensPerSecond);
    const auto nominal = Duration(static_cast<std::int64_t>(1e9 / rate));
    const Duration perPosition = std::max(nominal, load.ServicePerPosition());
    timeout += kTimeoutIntervals * perPosition * aStep.m_count;
  }
  if (aIsFirstToken) {
    timeout = std::max(timeout, aTargets.m_firstToken / 2);
  }
  return std::clamp(timeout, kMinStepTimeout, kMaxStepTimeout);
}

} // namespace parsleycove
