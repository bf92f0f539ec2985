// Builds a fleet of engines modelled on those of the two users, for tests of
// layer layout and path selection.
#pragma once

#include <string>
#include <vector>

#include "Routing/LayerLayout.h"
#include "Routing/Runner.h"

namespace parsleycove {

// Returns a model with 80 layers of 1,750 MB and three kinds of accelerators.
LayeredModel
MakeModel();

struct EngineGroup
{
  std::string m_zone;
  std::string m_kind;
  int m_count = 0;
};

// Returns 5 fast, 15 middle and 18 small engines in three zones.
std::vector<EngineGroup>
UsualGroups();

std::vector<LayoutHost>
MakeHosts(const std::vector<EngineGroup>& aGroups);

// Applies the orders as if the engines had carried them out.
void
ApplyOrders(std::vector<LayoutHost>& aHosts,
            const std::vector<LayoutOrder>& aOrders);

RunnerPtr
MakeEngine(const LayoutHost& aHost, std::uint32_t aZoneIndex);

// Returns the engines of hosts that hold layers; zones are numbered in the
// order of their names.
std::vector<RunnerPtr>
MakeEngines(const std::vector<LayoutHost>& aHosts);

// Returns how many engines of the zone hold each layer; an empty zone counts
// the engines of all zones.
std::vector<int>
CountHolders(const std::vector<LayoutHost>& aHosts, const std::string& aZone);

} // namespace parsleycove
