// Turns the outcomes of one run into figures, one JSON line each.
#pragma once

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "Bench/Load/Outcome.h"
#include "Bench/Load/Workload.h"

namespace parsleycove::load {

// How often each idempotency key ran, over all services.
using RunCounts = std::map<std::string, std::uint64_t>;

// The counts are absent when a service's audit could not be read.
void
PrintReport(const LoadOptions& aOptions,
            const std::vector<PlannedRequest>& aRequests,
            const std::vector<Outcome>& aOutcomes,
            const std::optional<RunCounts>& aRuns,
            std::ostream& aOut);

} // namespace parsleycove::load
