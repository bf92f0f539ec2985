// Exit codes of parsleycovectl.
#pragma once

namespace parsleycove {

// Documented in docs/operate/parsleycovectl.md; scripts rely on the numbers.
enum class ExitCode
{
  Ok = 0,
  Usage = 1,
  Refused = 2,
  Unreachable = 3,
  OutcomeUnknown = 4,
  NotFound = 5,
};

} // namespace parsleycove
