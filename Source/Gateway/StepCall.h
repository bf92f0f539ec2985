// One pipeline step of a stream, as it goes to an engine and comes back.
#pragma once

#include <cstdint>
#include <string>

#include "Routing/StepResult.h"
#include "Routing/StreamAction.h"

namespace parsleycove {

struct StepCall
{
  std::string m_stream;
  int m_priority = 0; // lower is more urgent
  std::uint64_t m_deadlineMs = 0;
  std::uint64_t m_seed = 0;
  EngineStep m_step;
};

// The result of a step with the load that the engine had at that moment.
struct StepAnswer
{
  StepResult m_result;
  std::uint32_t m_queued = 0;
  std::uint32_t m_running = 0;
};

} // namespace parsleycove
