// Builds runner tables for tests of routing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Routing/RunnerTable.h"

namespace parsleycove {

// The time at which tests begin.
inline constexpr TimePoint kTestStart{ std::chrono::seconds(1000) };

// A cluster image to which tests add models and endpoints.
class TestCluster
{
public:
  TestCluster& AddModel(const std::string& aName, std::uint32_t aLayers);
  // Adds an engine with version "v1" and 8 slots, and returns its record.
  state::EndpointT& AddEngine(const std::string& aId,
                              const std::string& aModel,
                              std::uint32_t aFirst,
                              std::uint32_t aLast,
                              std::uint32_t aTokensPerSecond = 1000,
                              const std::string& aZone = "a");
  state::EndpointT& AddService(const std::string& aId,
                               const std::string& aService,
                               const std::string& aZone = "a");
  boost::intrusive_ptr<const RunnerTable> Build(
    const RunnerTable* aPrevious = nullptr,
    TimePoint aNow = kTestStart) const;

private:
  state::EndpointT& AddEndpoint(const std::string& aId);

  state::ConfigImageT m_image;
};

} // namespace parsleycove
