// Starts coroutines whose exceptions are logged.
#include "Telemetry/LoggedSpawn.h"

#include <string>

#include "Telemetry/Logging.h"

namespace parsleycove {

void
LogException(std::string_view aWork, const std::exception_ptr& aFault)
{
  if (!aFault) {
    return;
  }
  std::string text = "unknown exception";
  try {
    std::rethrow_exception(aFault);
  } catch (const std::exception& fault) {
    text = fault.what();
  } catch (...) {
    // Keeps the text for exceptions that are no std::exception.
  }
  Log(LogLevel::Error,
      "work was given up after an exception",
      { { "work", std::string(aWork) }, { "fault", text } });
}

} // namespace parsleycove
