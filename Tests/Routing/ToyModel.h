// A small pure model whose text changes when a layer is skipped or repeated.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Routing/StepResult.h"
#include "Routing/StreamAction.h"

namespace parsleycove {

inline constexpr std::uint32_t kToyLayers = 6;

// One value for each input position.
using ToyValues = std::vector<std::uint64_t>;

// The text of a whole generation, computed in one go without any stages.
std::string
ComputeToyText(const std::vector<std::uint32_t>& aPrompt, std::size_t aTokens);

// An engine that holds a range of the toy model's layers.
class ToyEngine
{
public:
  ToyEngine(std::uint32_t aFirst, std::uint32_t aLast);

  // Runs a step, answers a repeated one from memory, or reports a gap.
  StepResult Run(const EngineStep& aStep, std::size_t aStage);
  // True when no position ran twice in one attempt.
  bool RanEachPositionOnce() const { return m_ranOnce; }

private:
  // Sums of each layer's inputs so far: what attention reads.
  struct Cache
  {
    std::vector<std::uint64_t> m_sums;
    std::uint32_t m_next = 0;
    EngineStep m_lastStep;
    StepResult m_lastResult;
  };

  const std::uint32_t m_first;
  const std::uint32_t m_last;
  std::map<std::uint32_t, Cache> m_caches; // by attempt
  std::map<std::pair<std::uint32_t, std::uint32_t>, int> m_runs;
  bool m_ranOnce = true;
};

} // namespace parsleycove
