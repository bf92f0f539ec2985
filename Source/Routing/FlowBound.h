// The throughput that no routing can exceed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleycove {

class RunnerTable;

// A runner as the bound sees it.
struct StageRate
{
  std::uint32_t m_firstLayer = 0;
  // Inclusive.
  std::uint32_t m_lastLayer = 0;
  double m_tokensPerSecond = 0;
  std::string m_zone;
};

// What the links between two zones carry, in tokens a second, one way.
struct ZoneLink
{
  std::string m_from;
  std::string m_to;
  double m_tokensPerSecond = 0;
};

// Returns the maximum flow of tokens a second through runners whose ranges
// abut. Zone pairs that aLinks doesn't list are not limited; an empty list
// limits no link.
double
ComputeFlowBound(std::uint32_t aLayers,
                 const std::vector<StageRate>& aRunners,
                 const std::vector<ZoneLink>& aLinks);

// The same over the Ready runners of a model's version; an empty version is
// the configured one.
double
ComputeFlowBound(const RunnerTable& aTable,
                 const std::string& aModel,
                 const std::string& aVersion = {});

} // namespace parsleycove
