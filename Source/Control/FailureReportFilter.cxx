// Which reports of dead endpoints are worth an entry of the log.
#include "Control/FailureReportFilter.h"

#include <algorithm>

namespace parsleycove {

namespace {

// A report that was not committed by then is lost; the next one is taken.
constexpr Duration kUnderWay = std::chrono::milliseconds(800);

// Two gateways that miss an answer of the same engine within this agree: the
// streams of all find a dead one within 0.2 s.
constexpr Duration kAgree = std::chrono::milliseconds(400);

} // namespace

bool
SuspicionFilter::IsAgreed(TimePoint aNow,
                          const Start& aStart,
                          const std::string& aGateway)
{
  std::erase_if(m_doubts, [aNow](const auto& aNoted) {
    return aNow - aNoted.second.m_at >= kAgree;
  });
  const auto [place, isFirst] =
    m_doubts.try_emplace(aStart, Doubt{ aGateway, aNow });
  return !isFirst && place->second.m_gateway != aGateway;
}

bool
SuspicionFilter::IsNew(TimePoint aNow,
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
  const Start start(reference.id, reference.incarnation);
  if (!aReport.unsure_gateway.empty() &&
      !IsAgreed(aNow, start, aReport.unsure_gateway)) {
    return false;
  }
  std::erase_if(m_reportedAt, [aNow](const auto& aReported) {
    return aNow - aReported.second >= kUnderWay;
  });
  return m_reportedAt.emplace(start, aNow).second;
}

} // namespace parsleycove
