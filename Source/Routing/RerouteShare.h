// Computes the share of streams with a failed stage that is rerouted around
// that stage; the other streams restart on other paths.
//
// Fault pattern: a chain that carries a hundred streams loses an engine, and
// one engine of its availability zone can replace the failed one. Its prefill
// takes 3 ms per stream, so the last streams would wait for 0.3 s while all
// other chains are idle.
#pragma once

#include <cstddef>

namespace parsleycove {

struct RerouteLoad
{
  // Streams of all gateways with the same failed stage, as far as this process
  // knows.
  double m_streams = 0;
  // Prefill time of one stream on the slowest replacement engine.
  double m_replacementPrefillMs = 0;
  // Prefill time of one stream on the slowest stage of another path.
  double m_restartPrefillMs = 0;
  // Prefill time of one stream over all stages of another path.
  double m_pathPrefillMs = 0;
  // Number of other paths, counted by distinct first engines.
  std::size_t m_paths = 0;
};

// Returns the share in [0, 1] at which the prefill of the last rerouted stream
// and that of the last restarted stream end at the same moment. Returns 1 if
// there are no other paths.
double
ComputeRerouteShare(const RerouteLoad& aLoad);

} // namespace parsleycove
