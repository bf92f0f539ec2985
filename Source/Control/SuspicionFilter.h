// Keeps the reports of one dead endpoint from filling the log.
//
// Pattern: four engines die, and each of ninety gateways finds all of them
// within a tenth of a second. One report of each says it all.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "Base/Clock.h"
#include "StateGenerated.h"

namespace parsleycove {

class SuspicionFilter
{
public:
  // Whether the command reports what is neither known nor under way; notes it
  // as under way.
  bool IsNew(TimePoint aNow,
             const state::ConfigImageT& aImage,
             const state::SuspectEndpointT& aReport);

private:
  // When an endpoint's start was last reported, by id and incarnation.
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> m_reportedAt;
};

} // namespace parsleycove
