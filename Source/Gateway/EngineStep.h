// One pipeline step of a stream, as it goes to an engine and comes back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleycove {

// Consecutive inputs of one stream for one stage.
struct EngineStep
{
  std::string m_stream;
  std::uint64_t m_attempt = 0;
  std::uint64_t m_position = 0; // of the first input
  int m_priority = 0;           // lower is more urgent
  std::uint64_t m_deadlineMs = 0;
  std::uint64_t m_seed = 0;
  // True for the stage that holds layer 0: the inputs are token numbers.
  bool m_isFirstStage = false;
  std::vector<std::uint64_t> m_inputs;
};

enum class EngineStepStatus
{
  Ok,
  Gap,
  Cancelled,
  Refused,
};

struct EngineToken
{
  std::uint64_t m_token = 0;
  std::string m_text;
  bool m_isEnd = false;
};

// Load of the engine at the moment of its answer.
struct EngineLoad
{
  std::uint64_t m_queued = 0;
  std::uint64_t m_running = 0;
};

struct EngineStepResult
{
  EngineStepStatus m_status = EngineStepStatus::Ok;
  // Outputs, one per input; empty from the last stage.
  std::vector<std::uint64_t> m_hidden;
  // Only from the last stage.
  std::optional<EngineToken> m_token;
  EngineLoad m_load;
};

} // namespace parsleycove
