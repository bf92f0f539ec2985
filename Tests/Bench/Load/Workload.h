// The requests of one run: open-loop arrivals with a fixed seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Bench/Load/LoadOptions.h"

namespace parsleycove::load {

enum class RequestKind
{
  Briefing, // a streamed answer of the model
  Booking,  // may run once
  Lookup,   // idempotent
};

struct PlannedRequest
{
  std::chrono::nanoseconds m_at{ 0 }; // since the start of the run
  RequestKind m_kind = RequestKind::Briefing;
  std::size_t m_gateway = 0;
  std::size_t m_account = 0;
  std::uint64_t m_seed = 0;
  std::string m_text; // the prompt, or the idempotency key
};

// Poisson arrivals over the whole run, in order of time.
std::vector<PlannedRequest>
PlanRequests(const LoadOptions& aOptions);

} // namespace parsleycove::load
