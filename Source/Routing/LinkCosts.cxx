// What moving one step's activations costs between zones.
#include "Routing/LinkCosts.h"

namespace parsleycove {

Duration
LinkCosts::OneWayLatency(const std::string& aFrom, const std::string& aTo) const
{
  if (const auto found = m_pairs.find({ aFrom, aTo }); found != m_pairs.end()) {
    return found->second;
  }
  if (const auto found = m_pairs.find({ aTo, aFrom }); found != m_pairs.end()) {
    return found->second;
  }
  return aFrom == aTo ? m_sameZone : m_otherZone;
}

} // namespace parsleycove
