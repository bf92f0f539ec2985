// What moving one step's activations costs between zones.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "Base/Clock.h"

namespace parsleycove {

// How activations travel from a stage to the next.
enum class ChainTransport
{
  // Every stage answers to the gateway, which sends on.
  Relayed,
  // Each stage sends to the next one itself.
  Direct,
};

// One-way times by pair of zones.
struct LinkCosts
{
  Duration m_sameZone = std::chrono::microseconds(100);
  Duration m_otherZone = std::chrono::microseconds(600);
  // Pairs that differ from the two above; either order is found.
  std::map<std::pair<std::string, std::string>, Duration> m_pairs;

  Duration OneWayLatency(const std::string& aFrom,
                         const std::string& aTo) const;
};

} // namespace parsleycove
