// Small deterministic model whose text changes when a layer is skipped or
// repeated.
#include "Routing/ToyModel.h"

#include <sstream>

#include "Routing/Random.h"

namespace parsleycove {

namespace {

std::uint64_t
RunLayer(std::uint32_t aLayer, std::uint64_t aInput, std::uint64_t& aSum)
{
  aSum += aInput;
  return MixBits(aInput * 31 + aSum * 17 + aLayer + 1);
}

std::uint32_t
ToToken(std::uint64_t aValue)
{
  return static_cast<std::uint32_t>(aValue % 1000);
}

std::string
ToText(std::uint32_t aToken)
{
  return "t" + std::to_string(aToken) + " ";
}

ToyValues
ParseHidden(const std::string& aHidden)
{
  std::istringstream input(aHidden);
  ToyValues values;
  for (std::uint64_t value = 0; input >> value;) {
    values.push_back(value);
  }
  return values;
}

std::string
FormatHidden(const ToyValues& aValues)
{
  std::ostringstream output;
  for (const std::uint64_t value : aValues) {
    output << value << ' ';
  }
  return output.str();
}

} // namespace

std::string
ComputeToyText(const std::vector<std::uint32_t>& aPrompt, std::size_t aTokens)
{
  std::vector<std::uint64_t> sums(kToyLayers, 0);
  std::vector<std::uint32_t> inputs = aPrompt;
  std::string text;
  std::size_t produced = 0;
  for (std::size_t position = 0; produced < aTokens; ++position) {
    std::uint64_t value = inputs[position];
    for (std::uint32_t layer = 0; layer < kToyLayers; ++layer) {
      value = RunLayer(layer, value, sums[layer]);
    }
    if (position + 1 == inputs.size()) {
      inputs.push_back(ToToken(value));
      text += ToText(inputs.back());
      ++produced;
    }
  }
  return text;
}

ToyEngine::ToyEngine(std::uint32_t aFirst, std::uint32_t aLast)
  : m_first(aFirst)
  , m_last(aLast)
{
}

StepResult
ToyEngine::Run(const EngineStep& aStep, std::size_t aStage)
{
  Cache& cache = m_caches[aStep.m_attempt];
  cache.m_sums.resize(kToyLayers, 0);
  const bool repeats = cache.m_next > 0 &&
                       aStep.m_position == cache.m_lastStep.m_position &&
                       aStep.m_count == cache.m_lastStep.m_count;
  if (repeats) {
    return cache.m_lastResult;
  }
  StepResult result;
  result.m_stage = aStage;
  result.m_attempt = aStep.m_attempt;
  result.m_position = aStep.m_position;
  if (aStep.m_position != cache.m_next) {
    result.m_status = StepStatus::Gap;
    return result;
  }
  ToyValues values = m_first == 0
                       ? ToyValues(aStep.m_tokens.begin(), aStep.m_tokens.end())
                       : ParseHidden(aStep.m_hidden);
  for (std::uint64_t& value : values) {
    m_ranOnce &= ++m_runs[{ aStep.m_attempt, cache.m_next++ }] == 1;
    for (std::uint32_t layer = m_first; layer <= m_last; ++layer) {
      value = RunLayer(layer, value, cache.m_sums[layer]);
    }
  }
  if (m_last + 1 == kToyLayers) {
    result.m_token = ToToken(values.back());
    result.m_text = ToText(result.m_token);
  } else {
    result.m_hidden = FormatHidden(values);
  }
  cache.m_lastStep = aStep;
  cache.m_lastResult = result;
  return result;
}

} // namespace parsleycove
