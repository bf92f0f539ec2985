// Which reports of dead endpoints are worth an entry of the log.
//
// Patterns: four engines die, and each of ninety gateways finds all of them
// within a tenth of a second. One report of each says it all. An availability
// zone's links lose packets, and some question stays without an answer every
// moment: what one gateway believes so is no reason for the others to leave.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "Base/Clock.h"
#include "StateGenerated.h"

namespace parsleycove {

class FailureReportFilter
{
public:
  // Whether the command reports what is neither known nor under way; notes it
  // as under way.
  bool AcceptReport(TimePoint aNow,
                    const state::ConfigImageT& aImage,
                    const state::SuspectEndpointT& aReport);

private:
  struct UnconfirmedReport
  {
    std::string m_gateway;
    TimePoint m_at{};
  };
  using EndpointIncarnation = std::pair<std::string, std::uint64_t>;

  // Whether another gateway has the same doubt; notes this one's.
  bool RecordUnconfirmed(TimePoint aNow,
                         const EndpointIncarnation& aEndpoint,
                         const std::string& aGateway);

  std::map<EndpointIncarnation, UnconfirmedReport> m_unconfirmed;
  // When an endpoint's endpoint was last reported, by id and incarnation.
  std::map<EndpointIncarnation, TimePoint> m_reportedAt;
};

} // namespace parsleycove
