// Finds the engines of a path that serve nothing although they answer probes.
//
// Fault pattern: an engine hangs as a stage of many paths and goes on reporting
// that it is healthy. Each request that is sent through it waits until its
// caller gives up, while streams through the other engines of its path go on.
#pragma once

#include <vector>

#include "Base/Clock.h"
#include "Routing/PathSelector.h"

namespace parsleycove {

// Returns the engines of aPath that have passed no event since aSentAt, when a
// request without an event yet was sent there. Returns none if they are more
// than half of the path: then the path may be slow rather than an engine hung.
std::vector<RunnerPtr>
FindHungStages(const StagePath& aPath, TimePoint aSentAt);

} // namespace parsleycove
