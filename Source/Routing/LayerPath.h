// Finds the fastest path that runs each layer of a model once and in order.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Routing/LayerLayout.h"

namespace parsleycove {

// An engine with the layers that it holds, as input to the path search.
struct PathHost
{
  LayerSpan m_holds;
  std::uint32_t m_zone = 0;
  // Time of one decode step through all layers of the model on this engine.
  double m_stepMs = 1;
  // Cost factor: more than 1 for an engine that should be avoided, 0 for one
  // that must not be used.
  double m_penalty = 1;
  // Further cost factor, at least 1: for an engine that takes few requests, so
  // that others are used where they hold the same layers.
  double m_avoidance = 1;
};

// Part of a path: the engine at index m_host runs the layers of m_span.
struct PathPart
{
  std::size_t m_host = 0;
  LayerSpan m_span;
};

struct PathCosts
{
  // Time to pass a token to another engine in the same zone.
  double m_hopMs = 0.15;
  // Time to pass a token to another zone. A prompt of 770 tokens takes 14 ms on
  // a link that all chains share, so a path stays in its zone if possible.
  double m_zoneHopMs = 12;
  // Longest path, in engines, that engines accept.
  std::size_t m_maxParts = 32;
};

// Returns the parts in order, or none if some layer has no engine. No engine
// appears twice.
std::vector<PathPart>
FindLayerPath(std::uint32_t aLayers,
              const std::vector<PathHost>& aHosts,
              const PathCosts& aCosts);

// Returns the time of one decode step on the path, in ms.
double
EstimateStepMs(std::uint32_t aLayers,
               const std::vector<PathHost>& aHosts,
               const std::vector<PathPart>& aPath,
               const PathCosts& aCosts);

} // namespace parsleycove
