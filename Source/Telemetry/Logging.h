// Structured logs: one JSON object per line.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace parsleycove {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

std::optional<LogLevel>
ParseLogLevel(std::string_view aName);

struct LogField
{
  std::string_view m_key;
  std::string m_value;
};

// Opens the log; lines go to standard error when the path is empty, to
// standard output when it is "-".
void
OpenLog(LogLevel aLevel, const std::string& aPath, const std::string& aVm);

// Writes one line; waits for no reader of the standard streams. The message is
// constant text; what varies is in the fields.
void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields = {});

} // namespace parsleycove
