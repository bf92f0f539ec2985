// The levels of urgency that the requests of one service can have.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "Admission/Urgency.h"

namespace parsleycove {

// Built once for each version of the configuration. Level 0 is the most urgent.
//
// Invariant: m_urgencies is sorted and holds no urgency twice.
class UrgencyScale
{
public:
  // A scale without levels, which is not graded.
  UrgencyScale() = default;
  UrgencyScale(const RoutingConfig& aConfig, std::string_view aService);

  std::size_t Count() const { return m_urgencies.size(); }
  // Returns true if some requests of the service are more urgent than others.
  bool IsGraded() const { return Count() > 1; }
  // Returns the level of the urgency. One that the scale lacks, as of a request
  // that began under an earlier configuration, has the level of the next less
  // urgent one, or the last level.
  std::size_t LevelOf(const Urgency& aUrgency) const;

private:
  std::vector<Urgency> m_urgencies;
};

} // namespace parsleycove
