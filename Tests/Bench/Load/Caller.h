// Sends one planned request and judges its answer.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "Bench/Load/Outcome.h"
#include "Bench/Load/Workload.h"

namespace parsleycove::load {

using TimePoint = std::chrono::steady_clock::time_point;

boost::asio::awaitable<Outcome>
SendRequest(const LoadOptions& aOptions,
            const PlannedRequest& aRequest,
            TimePoint aScheduled);

} // namespace parsleycove::load
