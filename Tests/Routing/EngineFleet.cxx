// A fleet of engines like those of the two users, for tests of layers and
// paths.
#include "Routing/EngineFleet.h"

#include <set>

namespace parsleycove {

LayeredModel
MakeModel()
{
  LayeredModel model;
  model.m_layers = 80;
  model.m_layerMb = 1750;
  model.m_tokenBytes = 426'000;
  model.m_stepMs = 0.85;
  model.m_prefillTokensPerSecond = 272'000;
  model.m_kinds = { { "fast", 36'000, 3.1, 3.2 },
                    { "middle", 21'600, 16, 8.2 },
                    { "small", 14'400, 15, 15 } };
  return model;
}

std::vector<EngineGroup>
UsualGroups()
{
  return { { "a", "fast", 2 },   { "b", "fast", 1 },   { "c", "fast", 2 },
           { "a", "middle", 5 }, { "b", "middle", 7 }, { "c", "middle", 3 },
           { "a", "small", 8 },  { "b", "small", 5 },  { "c", "small", 5 } };
}

std::vector<LayoutHost>
MakeHosts(const std::vector<EngineGroup>& aGroups)
{
  std::vector<LayoutHost> hosts;
  for (const EngineGroup& group : aGroups) {
    for (int i = 0; i < group.m_count; ++i) {
      const std::string id =
        group.m_zone + "-" + group.m_kind + "-" + std::to_string(i);
      hosts.push_back({ id, 1, group.m_kind, group.m_zone, {} });
    }
  }
  return hosts;
}

void
ApplyOrders(std::vector<LayoutHost>& aHosts,
            const std::vector<LayoutOrder>& aOrders)
{
  for (const LayoutOrder& order : aOrders) {
    for (LayoutHost& host : aHosts) {
      if (host.m_id == order.m_id) {
        host.m_holds = order.m_span;
      }
    }
  }
}

RunnerPtr
MakeEngine(const LayoutHost& aHost, std::uint32_t aZoneIndex)
{
  boost::intrusive_ptr<Runner> runner(new Runner());
  runner->m_id = aHost.m_id;
  runner->m_idHash = HashId(aHost.m_id);
  runner->m_incarnation = aHost.m_incarnation;
  runner->m_kind = state::EndpointKind::ManagedEngine;
  runner->m_zone = aHost.m_zone;
  runner->m_zoneIndex = aZoneIndex;
  runner->m_accelerator = aHost.m_kind;
  runner->m_firstLayer = aHost.m_holds.m_first;
  runner->m_layerCount = aHost.m_holds.Length();
  runner->m_slots = 192;
  runner->m_load = new RunnerLoad();
  return runner;
}

std::vector<RunnerPtr>
MakeEngines(const std::vector<LayoutHost>& aHosts)
{
  std::set<std::string> zones;
  for (const LayoutHost& host : aHosts) {
    zones.insert(host.m_zone);
  }
  std::vector<RunnerPtr> engines;
  for (const LayoutHost& host : aHosts) {
    const auto zone = std::distance(zones.begin(), zones.find(host.m_zone));
    engines.push_back(MakeEngine(host, static_cast<std::uint32_t>(zone)));
  }
  return engines;
}

std::vector<int>
CountHolders(const std::vector<LayoutHost>& aHosts, const std::string& aZone)
{
  std::vector<int> counts(80, 0);
  for (const LayoutHost& host : aHosts) {
    for (std::uint32_t i = host.m_holds.m_first; i < host.m_holds.m_end; ++i) {
      counts[i] += aZone.empty() || host.m_zone == aZone ? 1 : 0;
    }
  }
  return counts;
}

} // namespace parsleycove
