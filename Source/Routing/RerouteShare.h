// How many streams with a lost stage are led round it; the others begin anew.
//
// Pattern: a chain that carries a hundred streams loses an engine, and one
// engine of its availability zone can step in. It reads 3 ms for each, so the
// last ones would stand still for 0.3 s while all other chains idle.
#pragma once

#include <cstddef>

namespace parsleycove {

struct RerouteLoad
{
  // Streams of all gateways with the same lost stage, as far as known here.
  double m_streams = 0;
  // What the engines that step in take to read one of them.
  double m_replacementPrefillMs = 0;
  // What the slowest stage of another path takes for the same.
  double m_restartPrefillMs = 0;
  // From the start of a path to its end for one of them.
  double m_pathPrefillMs = 0;
  // Other paths, none of which shares its first engine with another.
  std::size_t m_paths = 0;
};

// In [0, 1]: with this share the last stream that is led round and the last one
// that begins anew have been read at the same moment. 1 without other paths.
double
ComputeRerouteShare(const RerouteLoad& aLoad);

} // namespace parsleycove
