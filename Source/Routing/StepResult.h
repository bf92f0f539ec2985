// Answer of an engine to one step of a generation.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "Base/EnumTable.h"

namespace parsleycove {

enum class StepStatus
{
  Ok,
  Gap,
  Cancelled,
  Refused,
};

inline constexpr std::array<EnumName<StepStatus>, 4> kStepStatusNames{ {
  { StepStatus::Ok, "ok" },
  { StepStatus::Gap, "gap" },
  { StepStatus::Cancelled, "cancelled" },
  { StepStatus::Refused, "refused" },
} };

struct StepResult
{
  // Stage that the step was sent to; set by the sender of the step.
  std::size_t m_stage = 0;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_position = 0;
  StepStatus m_status = StepStatus::Ok;
  // Hidden state for the next stage; opaque to the router and passed on
  // unchanged.
  std::string m_hidden;
  // Set by the last stage only.
  std::uint32_t m_token = 0;
  std::string m_text;
  bool m_end = false;
};

} // namespace parsleycove
