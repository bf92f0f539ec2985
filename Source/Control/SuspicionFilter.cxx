// Keeps the reports of one dead endpoint from filling the log.
#include "Control/SuspicionFilter.h"

#include <algorithm>

namespace parsleycove {

namespace {

// A report that was not committed by then is lost; the next one is taken.
constexpr Duration kUnderWay = std::chrono::milliseconds(800);

} // namespace

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
  std::erase_if(m_reportedAt, [aNow](const auto& aReported) {
    return aNow - aReported.second >= kUnderWay;
  });
  return m_reportedAt
    .emplace(std::pair(reference.id, reference.incarnation), aNow)
    .second;
}

} // namespace parsleycove
