// A fleet of engines like those of the two users, for tests of layers and
// paths.
#pragma once

#include <string>
#include <vector>

#include "Routing/LayerLayout.h"
#include "Routing/Runner.h"

namespace parsleycove {

// 80 layers of 1,750 MB; three kinds of accelerators.
LayeredModel
MakeModel();

struct EngineGroup
{
  std::string m_zone;
  std::string m_kind;
  int m_count = 0;
};

// 5 fast, 15 middle and 18 small engines over three zones.
std::vector<EngineGroup>
UsualGroups();

std::vector<LayoutHost>
MakeHosts(const std::vector<EngineGroup>& aGroups);

// Takes orders over as if they had been carried out.
void
ApplyOrders(std::vector<LayoutHost>& aHosts,
            const std::vector<LayoutOrder>& aOrders);

RunnerPtr
MakeEngine(const LayoutHost& aHost, std::uint32_t aZoneIndex);

// Engines of hosts that hold layers; zones are numbered in order of their name.
std::vector<RunnerPtr>
MakeEngines(const std::vector<LayoutHost>& aHosts);

// How many engines of the zone hold each layer; an empty zone: of all.
std::vector<int>
CountHolders(const std::vector<LayoutHost>& aHosts, const std::string& aZone);

} // namespace parsleycove
