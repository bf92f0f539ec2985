// A chain of runners that covers a model once, in order.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/container/small_vector.hpp>

#include "Base/Clock.h"
#include "Routing/ClassTargets.h"
#include "Routing/Runner.h"

namespace parsleycove {

struct ChainStage
{
  RunnerPtr m_runner;
  std::uint32_t m_firstLayer = 0;
  // Inclusive.
  std::uint32_t m_lastLayer = 0;
  // What the planner expects a step of one token to take; zero: not known.
  Duration m_expectedStep{};
};

// Invariant: the first stage begins at layer 0, each next one begins one
// layer after the end of the one before, the last one ends the model.
struct Chain
{
  static constexpr std::size_t kInlineStages = 12;

  boost::container::small_vector<ChainStage, kInlineStages> m_stages;
  // What the planner expects; a hint for time-outs and admission.
  Duration m_expectedFirstToken{};
  Duration m_expectedInterval{};
};

// What a chain is asked for.
struct ChainRequest
{
  std::string m_model;
  // Empty: the configured version.
  std::string m_version;
  std::uint32_t m_promptTokens = 1;
  std::uint32_t m_expectedTokens = 1;
  // Zero: no affinity.
  std::uint64_t m_prefixHash = 0;
  TimePoint m_deadline = TimePoint::max();
  ClassTargets m_targets;
  // Endpoint ids that must not be part of the chain.
  std::vector<std::string> m_excluded;
  std::string m_gatewayZone;
  // After a silent stage: runners that answered since then come first, for
  // others may have fallen silent with it. The epoch: no such wish.
  TimePoint m_answeredSince;
};

} // namespace parsleycove
