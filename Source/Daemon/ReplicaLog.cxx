// Log lines of a control replica.
#include "Daemon/ReplicaLog.h"

#include "Telemetry/Logging.h"

namespace parsleycove {

namespace {

LogLevel
ToLogLevel(ControlLogLevel aLevel)
{
  switch (aLevel) {
    case ControlLogLevel::Debug:
      return LogLevel::Debug;
    case ControlLogLevel::Info:
      return LogLevel::Info;
    case ControlLogLevel::Warning:
      return LogLevel::Warning;
    case ControlLogLevel::Error:
      return LogLevel::Error;
  }
  return LogLevel::Info;
}

} // namespace

void
WriteReplicaLog(ControlLogLevel aLevel, const std::string& aText)
{
  Log(ToLogLevel(aLevel), "control", { { "text", aText } });
}

} // namespace parsleycove
