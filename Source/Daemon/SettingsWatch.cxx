// Notices that the settings file has changed.
#include "Daemon/SettingsWatch.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

namespace parsleycove {

namespace {

constexpr std::chrono::seconds kLookInterval{ 1 };

} // namespace

std::optional<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

SettingsWatch::SettingsWatch(boost::asio::io_context& aContext,
                             SettingReader aReader,
                             DecisionLog& aLog,
                             Handler aHandler)
  : m_reader(std::move(aReader))
  , m_log(aLog)
  , m_handler(std::move(aHandler))
  , m_signals(aContext, SIGHUP)
  , m_timer(aContext)
  , m_path(m_reader.TextOf(SettingId::SettingsFile))
{
}

void
SettingsWatch::Start()
{
  WaitForSignal();
  if (!m_path.empty()) {
    m_text = ReadTextFile(m_path).value_or("");
    LookLater();
  }
}

void
SettingsWatch::WaitForSignal()
{
  m_signals.async_wait([this](boost::system::error_code aError, int) {
    if (!aError) {
      Look("SIGHUP");
      WaitForSignal();
    }
  });
}

void
SettingsWatch::LookLater()
{
  m_timer.expires_after(kLookInterval);
  m_timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      Look("changed");
      LookLater();
    }
  });
}

void
SettingsWatch::Look(const char* aWhy)
{
  const auto text = ReadTextFile(m_path);
  if (!text || *text == m_text) {
    return;
  }
  m_text = *text;
  SettingReader reader = m_reader;
  SettingReason reason;
  std::optional<DaemonSettings> settings;
  if (reader.ReadFile(*text)) {
    settings = DaemonSettings::Check(reader, SystemClock().UnixMs(), reason);
  } else {
    reason = reader.LastReason();
  }
  m_log.Write(DecisionEvent::Reloaded, [&](DecisionLine& aLine) {
    aLine.Add("why", aWhy)
      .Add("outcome", settings ? "taken" : "refused")
      .Add("fault", reason.m_text);
  });
  if (settings) {
    m_handler(*settings);
  }
}

} // namespace parsleycove
