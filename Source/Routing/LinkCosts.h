// Latency of moving the activations of one step between zones.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "Base/Clock.h"

namespace parsleycove {

// How activations travel from one stage to the next.
enum class ChainTransport
{
  // Each stage answers to the gateway, which sends the activations on.
  Relayed,
  // Each stage sends the activations to the next stage.
  Direct,
};

// One-way latencies by pair of zones.
struct LinkCosts
{
  Duration m_sameZone = std::chrono::microseconds(100);
  Duration m_otherZone = std::chrono::microseconds(600);
  // Pairs that differ from the two defaults above; a pair is found in either
  // order.
  std::map<std::pair<std::string, std::string>, Duration> m_pairs;

  Duration OneWayLatency(const std::string& aFrom,
                         const std::string& aTo) const;
};

} // namespace parsleycove
