// Estimates when a path would give the first event of a prompt, and spreads
// prompts over the paths by it.
#include "Routing/PromptSpread.h"

#include <algorithm>
#include <cmath>

namespace parsleycove {

namespace {

constexpr double kPerMillion = 1e-6;
// Bound of the exponent of a weight, so that each path keeps a weight above 0.
constexpr double kMaxExponent = 12;
// Bound of the part of its passes that a path is expected to read in.
constexpr double kMaxBusyPart = 0.9;

} // namespace

PromptSpread::PromptSpread(PromptSpreadSettings aSettings)
  : m_settings(aSettings)
{
}

void
PromptSpread::SetAims(const ServiceAims& aAims)
{
  m_targetMs =
    std::chrono::duration<double, std::milli>(aAims.m_firstEvent).count();
  m_isDifferentiated = aAims.m_isDifferentiated;
  UpdateActive();
}

void
PromptSpread::SetModel(const LayeredModel& aModel)
{
  m_chunkTokens = aModel.m_chunkTokens;
  m_usualPrompt = aModel.m_usualPromptTokens;
  m_readingPerStream = 0;
  if (m_chunkTokens > 0 && aModel.m_usualAnswerTokens > 0) {
    // A stream runs for as many passes as its answer needs.
    const double passes =
      aModel.m_usualAnswerTokens / std::max(1.0, aModel.m_stepsPerPass);
    m_readingPerStream = m_usualPrompt / m_chunkTokens / passes;
  }
  UpdateActive();
}

void
PromptSpread::UpdateActive()
{
  m_isActive = m_settings.m_isEnabled && m_isDifferentiated && m_targetMs > 0 &&
               m_chunkTokens >= 1 && m_usualPrompt > 0;
}

double
PromptSpread::ReadingMs(const PrefillCost& aCost, double aTokens) const
{
  const double passes = std::ceil(aTokens / m_chunkTokens);
  return aTokens * aCost.m_tokenMs + passes * aCost.m_passMs +
         aTokens * aTokens / 2 * kPerMillion * aCost.m_pairsMsPerMillion;
}

double
PromptSpread::FirstEventMs(const PrefillCost& aCost,
                           const PrefillLoad& aLoad,
                           double aPromptTokens) const
{
  // The prompts that other gateways have sent are unknown, the streams that
  // they became are reported.
  const double busy =
    std::clamp(aLoad.m_streams * m_readingPerStream, 0.0, kMaxBusyPart);
  const double unknownMs = busy / (1 - busy) * ReadingMs(aCost, m_usualPrompt);
  const double knownMs = ReadingMs(aCost, std::max(0.0, aLoad.m_backlogTokens));
  return std::max(unknownMs, knownMs) + ReadingMs(aCost, aPromptTokens);
}

double
PromptSpread::WeightFactor(const PrefillCost& aCost,
                           const PrefillLoad& aLoad,
                           double aPromptTokens) const
{
  if (!m_isActive) {
    return 1;
  }
  const double exponent =
    m_settings.m_bias * FirstEventMs(aCost, aLoad, aPromptTokens) / m_targetMs;
  return std::exp(-std::clamp(exponent, 0.0, kMaxExponent));
}

} // namespace parsleycove
