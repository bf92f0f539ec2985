// How many streams with a lost stage are led round it; the others begin anew.
#include "Routing/RerouteShare.h"

#include <algorithm>

namespace parsleycove {

double
ComputeRerouteShare(const RerouteLoad& aLoad)
{
  if (aLoad.m_paths == 0 || aLoad.m_streams <= 0) {
    return 1;
  }
  const double elsewhere = aLoad.m_streams * aLoad.m_restartPrefillMs /
                           static_cast<double>(aLoad.m_paths);
  const double here = aLoad.m_streams * aLoad.m_replacementPrefillMs;
  if (here + elsewhere <= 0) {
    return 1;
  }
  return std::clamp(
    (aLoad.m_pathPrefillMs + elsewhere) / (here + elsewhere), 0.0, 1.0);
}

} // namespace parsleycove
