// Structured logs: one JSON object per line.
#include "Telemetry/Logging.h"

#include <array>

#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include "Base/EnumTable.h"
#include "Telemetry/QueueAppender.h"
#include "Telemetry/StandardStreams.h"

namespace parsleycove {

namespace {

constexpr std::array<EnumName<LogLevel>, 4> kLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

log4cxx::LevelPtr
ToLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warning:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::AppenderPtr
CreateAppender(const std::string& aPath)
{
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  if (aPath == "-" || aPath.empty()) {
    return std::make_shared<QueueAppender>(
      layout, aPath.empty() ? StandardError() : StandardOutput());
  }
  return std::make_shared<log4cxx::FileAppender>(layout, aPath, true);
}

log4cxx::LoggerPtr&
ProductLogger()
{
  // Never destroyed: threads may log while the process ends.
  static auto* s_logger =
    new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("parsleycove"));
  return *s_logger;
}

std::string&
LogVm()
{
  static auto* s_vm = new std::string;
  return *s_vm;
}

} // namespace

std::optional<LogLevel>
ParseLogLevel(std::string_view aName)
{
  return ValueOf(kLevelNames, aName);
}

void
OpenLog(LogLevel aLevel, const std::string& aPath, const std::string& aVm)
{
  LogVm() = aVm;
  SetStreamVm(aVm);
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(CreateAppender(aPath));
  root->setLevel(ToLibraryLevel(aLevel));
}

void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields)
{
  const log4cxx::LoggerPtr& logger = ProductLogger();
  const log4cxx::LevelPtr level = ToLibraryLevel(aLevel);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  log4cxx::MDC::clear();
  log4cxx::MDC::put("vm", LogVm());
  for (const LogField& field : aFields) {
    log4cxx::MDC::put(std::string(field.m_key), field.m_value);
  }
  logger->forcedLog(level, std::string(aMessage), LOG4CXX_LOCATION);
  log4cxx::MDC::clear();
}

} // namespace parsleycove
