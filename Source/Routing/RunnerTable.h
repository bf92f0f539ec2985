// Indexes the endpoints of one cluster view for planning.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "Routing/Runner.h"
#include "Routing/UnlistedRunners.h"
#include "State/ClusterView.h"

namespace parsleycove {

// Runners with the same layer range, at positions [m_begin, m_end) of a
// RunnerSet.
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
  // The configured version; if empty, the version that most runners hold is
  // served.
  std::string m_version;
  std::uint32_t m_layers = 0;
  std::vector<RunnerSet> m_versions;

  // Returns nullptr if no Ready runner holds that version.
  const RunnerSet* FindVersion(std::string_view aVersion) const;
  // Returns the runners of the served version, or nullptr if there are none.
  const RunnerSet* FindServedVersion() const;
};

// Built once for each cluster view and published to all threads.
//
// Invariant: unchanged after Build, except for the RunnerLoad objects. An
// endpoint whose id and incarnation are unchanged keeps its RunnerLoad from
// table to table, also over tables that do not list it: see UnlistedRunners.
class RunnerTable : public boost::intrusive_ref_counter<RunnerTable>
{
public:
  // aPrevious: nullptr for the first table.
  static boost::intrusive_ptr<const RunnerTable>
  Build(TimePoint aNow, const ClusterView& aView, const RunnerTable* aPrevious);

  // Returns nullptr if the model is not configured.
  const ModelRunners* FindModel(std::string_view aName) const;
  // Returns the Ready endpoints of a service, both plain endpoints and managed
  // engines, or nullptr if there are none.
  const std::vector<RunnerPtr>* FindService(std::string_view aName) const;
  // Returns the endpoint, also if it is Leaving, or nullptr if there is none.
  const Runner* FindRunner(std::string_view aId) const;
  // Returns this start of the endpoint, listed or remembered, or nullptr.
  const Runner* FindStart(std::string_view aId,
                          std::uint64_t aIncarnation) const;

  const std::vector<std::string>& Zones() const { return m_zones; }
  // Returns Zones().size() for a zone without endpoints.
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
  // The keys point into m_all and m_models.
  std::unordered_map<std::string_view, const Runner*> m_byId;
  std::unordered_map<std::string_view, std::size_t> m_modelIndex;
  std::unordered_map<std::string, std::vector<RunnerPtr>> m_services;
  UnlistedRunners m_unlisted;
};

} // namespace parsleycove
