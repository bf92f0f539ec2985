// Which reports of dead endpoints are worth an entry of the log.
#include "Control/FailureReportFilter.h"

#include <algorithm>

namespace parsleycove {

namespace {

// A report that was not committed by then is lost; the next one is taken.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(800);

// Two gateways that miss an answer of the same engine within this agree: the
// streams of all find a dead one within 0.2 s.
constexpr Duration kConfirmationWindow = std::chrono::milliseconds(400);

} // namespace

bool
FailureReportFilter::RecordUnconfirmed(TimePoint aNow,
                                       const EndpointIncarnation& aEndpoint,
                                       const std::string& aGateway)
{
  std::erase_if(m_unconfirmed, [aNow](const auto& aNoted) {
    return aNow - aNoted.second.m_at >= kConfirmationWindow;
  });
  const auto [entry, isFirst] =
    m_unconfirmed.try_emplace(aEndpoint, UnconfirmedReport{ aGateway, aNow });
  return !isFirst && entry->second.m_gateway != aGateway;
}

bool
FailureReportFilter::AcceptReport(TimePoint aNow,
                                  const state::ConfigImageT& aImage,
                                  const state::SuspectEndpointT& aReport)
{
  if (!aReport.endpoint) {
    return true; // refused where it is applied
  }
  const state::EndpointRefT& reference = *aReport.endpoint;
  const bool isKnown = std::any_of(
    aImage.endpoints.begin(), aImage.endpoints.end(), [&](const auto& aListed) {
      return aListed && aListed->id == reference.id &&
             aListed->incarnation == reference.incarnation &&
             aListed->suspected;
    });
  if (isKnown) {
    return false;
  }
  const EndpointIncarnation endpoint(reference.id, reference.incarnation);
  if (!aReport.unsure_gateway.empty() &&
      !RecordUnconfirmed(aNow, endpoint, aReport.unsure_gateway)) {
    return false;
  }
  std::erase_if(m_reportedAt, [aNow](const auto& aReported) {
    return aNow - aReported.second >= kCommitTimeout;
  });
  return m_reportedAt.emplace(endpoint, aNow).second;
}

} // namespace parsleycove
