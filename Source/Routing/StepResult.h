// What engines answer to a step of a generation.
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
  // The stage that was asked; the sender of the step knows it.
  std::size_t m_stage = 0;
  std::uint32_t m_attempt = 0;
  std::uint32_t m_position = 0;
  StepStatus m_status = StepStatus::Ok;
  // Opaque to the router; passed on as it came.
  std::string m_hidden;
  // From the last stage only.
  std::uint32_t m_token = 0;
  std::string m_text;
  bool m_end = false;
};

} // namespace parsleycove
