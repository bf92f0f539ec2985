// A chain of runners that covers each layer of a model once, in order.
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
  // Expected time of a decode step of one token; zero if not known.
  Duration m_expectedStep{};
};

// Invariant: the first stage begins at layer 0, each later stage begins at the
// layer after the end of the previous stage, and the last stage ends at the
// model's last layer.
struct Chain
{
  static constexpr std::size_t kInlineStages = 12;

  boost::container::small_vector<ChainStage, kInlineStages> m_stages;
  // Estimates of the planner, as hints for timeouts and admission.
  Duration m_expectedFirstToken{};
  Duration m_expectedInterval{};
};

// A request for a chain.
struct ChainRequest
{
  std::string m_model;
  // An empty version stands for the configured version.
  std::string m_version;
  std::uint32_t m_promptTokens = 1;
  std::uint32_t m_expectedTokens = 1;
  // Zero means no prefix affinity.
  std::uint64_t m_prefixHash = 0;
  TimePoint m_deadline = TimePoint::max();
  ClassTargets m_targets;
  // Endpoint ids that must not be part of the chain.
  std::vector<std::string> m_excluded;
  std::string m_gatewayZone;
  // Set after a stage did not answer in time: runners that answered since this
  // time are preferred, because other runners may have failed together with
  // that stage. The epoch means no preference.
  TimePoint m_answeredSince;
};

} // namespace parsleycove
