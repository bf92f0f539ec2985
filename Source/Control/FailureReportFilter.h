// Decides which reports of failed endpoints the leader proposes to the log.
//
// Handles two loads. Four engines fail, and each of ninety gateways detects all
// of them within 0.1 s: one log entry for each engine is enough. The links of
// an availability zone lose packets, so that at any moment some probe is
// unanswered: the suspicion of one gateway must not make the others leave the
// endpoint.
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
  // Returns whether to propose the report, and records it as proposed. Returns
  // false if the endpoint is already suspected, if the same report was proposed
  // recently, or if an unsure gateway's report is not confirmed by another one.
  bool AcceptReport(TimePoint aNow,
                    const state::ConfigImageT& aImage,
                    const state::SuspectEndpointT& aReport);

private:
  // The first report of an endpoint by a gateway that is unsure.
  struct UnconfirmedReport
  {
    std::string m_gateway;
    TimePoint m_at{};
  };
  // Id and incarnation of an endpoint.
  using EndpointIncarnation = std::pair<std::string, std::uint64_t>;

  // Records the report of a gateway that is unsure. Returns true if another
  // gateway reported the same endpoint within the confirmation window.
  bool RecordUnconfirmed(TimePoint aNow,
                         const EndpointIncarnation& aEndpoint,
                         const std::string& aGateway);

  std::map<EndpointIncarnation, UnconfirmedReport> m_unconfirmed;
  // When a report of each endpoint was last proposed.
  std::map<EndpointIncarnation, TimePoint> m_reportedAt;
};

} // namespace parsleycove
