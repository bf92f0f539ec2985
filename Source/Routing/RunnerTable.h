// The endpoints of one cluster view, arranged for planning.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Routing/Runner.h"
#include "State/ClusterView.h"

namespace parsleycove {

// Runners with the same range: positions m_begin to m_end of a RunnerSet.
struct RangeGroup
{
  std::uint32_t m_firstLayer = 0;
  std::uint32_t m_lastLayer = 0;
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
};

// The Ready runners of one version of a model.
struct RunnerSet
{
  std::string m_version;
  // Sorted by first layer, then by last layer, then by id.
  std::vector<RunnerPtr> m_runners;
  // In the order of m_runners.
  std::vector<RangeGroup> m_groups;
};

struct ModelRunners
{
  std::string m_name;
  // The configured version; empty: whichever most runners hold.
  std::string m_version;
  std::uint32_t m_layers = 0;
  std::vector<RunnerSet> m_versions;

  // Returns null when no Ready runner holds that version.
  const RunnerSet* FindVersion(std::string_view aVersion) const;
  // Returns the configured version's runners, or null.
  const RunnerSet* FindServedVersion() const;
};

// Built once for each cluster view and published to all threads.
//
// Invariant: never changed after Build, except for the RunnerLoad objects,
// which an unchanged endpoint id and incarnation keeps from table to table.
class RunnerTable : public boost::intrusive_ref_counter<RunnerTable>
{
public:
  static boost::intrusive_ptr<const RunnerTable> Build(
    const ClusterView& aView,
    const RunnerTable* aPrevious);

  // Returns null when the model is not configured.
  const ModelRunners* FindModel(std::string_view aName) const;
  // Returns the Ready endpoints of a service, plain ones and managed engines;
  // null when there are none.
  const std::vector<RunnerPtr>* FindService(std::string_view aName) const;
  // Returns any endpoint, Leaving ones too, or null.
  const Runner* FindRunner(std::string_view aId) const;

  const std::vector<std::string>& Zones() const { return m_zones; }
  // Returns Zones().size() for a zone that no endpoint is in.
  std::uint32_t ZoneIndex(std::string_view aZone) const;
  const std::vector<RunnerPtr>& Runners() const { return m_all; }
  const std::vector<ModelRunners>& Models() const { return m_models; }

private:
  void AddRunners(const ClusterView& aView, const RunnerTable* aPrevious);
  void AddModels(const ClusterView& aView);
  void AddServices();

  std::vector<std::string> m_zones;
  std::vector<RunnerPtr> m_all;
  std::vector<ModelRunners> m_models;
  // Keys point into m_all and m_models.
  std::unordered_map<std::string_view, const Runner*> m_byId;
  std::unordered_map<std::string_view, std::size_t> m_modelIndex;
  std::unordered_map<std::string, std::vector<RunnerPtr>> m_services;
};

} // namespace parsleycove
