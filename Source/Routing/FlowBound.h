// Upper bound of the throughput that any routing over a set of runners can
// reach.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleycove {

class RunnerTable;

// Layers, rate and zone of one runner.
struct StageRate
{
  std::uint32_t m_firstLayer = 0;
  // Inclusive.
  std::uint32_t m_lastLayer = 0;
  double m_tokensPerSecond = 0;
  std::string m_zone;
};

// Capacity of the links from one zone to another, one way, in tokens per
// second.
struct ZoneLink
{
  std::string m_from;
  std::string m_to;
  double m_tokensPerSecond = 0;
};

// Returns the maximum flow, in tokens per second, through runners whose layer
// ranges abut. Zone pairs that aLinks does not list are unlimited; an empty
// list limits no link.
double
ComputeFlowBound(std::uint32_t aLayers,
                 const std::vector<StageRate>& aRunners,
                 const std::vector<ZoneLink>& aLinks);

// Returns the maximum flow through the Ready runners of a model's version,
// without limits on links. An empty aVersion stands for the configured version.
double
ComputeFlowBound(const RunnerTable& aTable,
                 const std::string& aModel,
                 const std::string& aVersion = {});

} // namespace parsleycove
