// Estimates the capacity and speed of engines that hold a part of a model.
#include "Routing/EngineCapacity.h"

#include <algorithm>

namespace parsleycove {

namespace {

constexpr double kBytesPerMb = 1e6;
// Engines prefill a prompt in chunks of this size, one with each decode step.
constexpr double kTokensPerStep = 512;

} // namespace

double
KvCapacityTokens(const LayeredModel& aModel, const Runner& aRunner)
{
  const AcceleratorKind* kind = aModel.FindKind(aRunner.m_accelerator);
  if (kind == nullptr || aRunner.m_layerCount == 0 || aModel.m_layers == 0) {
    return 0;
  }
  const double free =
    kind->m_memoryMb - aModel.m_layerMb * aRunner.m_layerCount;
  const double perToken =
    aModel.m_tokenBytes / aModel.m_layers * aRunner.m_layerCount / kBytesPerMb;
  return perToken > 0 ? std::max(0.0, free / perToken) : 0;
}

double
PrefillMs(const LayeredModel& aModel,
          const LayerSpan& aSpan,
          const Runner& aRunner,
          TimePoint aNow)
{
  const AcceleratorKind* kind = aModel.FindKind(aRunner.m_accelerator);
  if (kind == nullptr || aModel.m_prefillTokensPerSecond <= 0 ||
      aModel.m_layers == 0) {
    return 0;
  }
  constexpr double kMsPerSecond = 1000;
  const double share = static_cast<double>(aSpan.Length()) / aModel.m_layers;
  const double prefillMs =
    kind->m_prefillTimeFactor * kMsPerSecond / aModel.m_prefillTokensPerSecond;
  const double step = kind->m_stepTimeFactor * aModel.m_stepMs / kTokensPerStep;
  return share * (prefillMs + step) *
         std::max(1.0, aRunner.m_load->Slowdown(aNow));
}

} // namespace parsleycove
