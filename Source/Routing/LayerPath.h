// Finds the fastest way through all layers of a model, once and in order.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Routing/LayerLayout.h"

namespace parsleycove {

// An engine with the layers it holds, as a path sees it.
struct PathHost
{
  LayerSpan m_holds;
  std::uint32_t m_zone = 0;
  // One token step through all layers of the model on this engine.
  double m_stepMs = 1;
  // Factor of 1 or more for an engine that should rather be avoided; 0: it
  // must not be used.
  double m_penalty = 1;
};

// Part of a path: the engine at m_host runs the layers of m_span.
struct PathPart
{
  std::size_t m_host = 0;
  LayerSpan m_span;
};

struct PathCosts
{
  // Passing a token on to another engine in the zone.
  double m_hopMs = 0.15;
  // The same to another zone. A prompt of 770 tokens takes 14 ms of a link
  // that all chains share, so a path stays in its zone where it can.
  double m_zoneHopMs = 12;
  // Longest path that engines take.
  std::size_t m_maxParts = 32;
};

// Returns the parts in order, or none if some layer has no engine. No engine
// appears twice.
std::vector<PathPart>
FindLayerPath(std::uint32_t aLayers,
              const std::vector<PathHost>& aHosts,
              const PathCosts& aCosts);

// What one token takes on the path.
double
EstimateStepMs(std::uint32_t aLayers,
               const std::vector<PathHost>& aHosts,
               const std::vector<PathPart>& aPath,
               const PathCosts& aCosts);

} // namespace parsleycove
