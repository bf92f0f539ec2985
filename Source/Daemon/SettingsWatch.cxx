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
    const auto text = ReadTextFile(m_path);
    m_isReadable = text.has_value();
    m_text = text.value_or("");
    LookLater();
  }
}

void
SettingsWatch::WaitForSignal()
{
  m_signals.async_wait([this](boost::system::error_code aError, int) {
    if (!aError) {
      Look(Cause::Signal);
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
      Look(Cause::Timer);
      LookLater();
    }
  });
}

void
SettingsWatch::Look(Cause aCause)
{
  const bool isAsked = aCause == Cause::Signal;
  const auto text = ReadTextFile(m_path);
  if (!text) {
    if (isAsked || m_isReadable) {
      Tell(aCause,
           "refused",
           m_path.empty() ? "no settings file is given"
                          : "cannot read " + m_path);
    }
    m_isReadable = false;
    return;
  }
  m_isReadable = true;
  if (*text != m_text) {
    m_text = *text;
    Take(aCause);
  } else if (isAsked) {
    Tell(aCause, "unchanged", {});
  }
}

void
SettingsWatch::Take(Cause aCause)
{
  SettingReader reader = m_reader;
  SettingReason reason;
  std::optional<DaemonSettings> settings;
  if (reader.ReadFile(m_text)) {
    settings = DaemonSettings::Check(reader, SystemClock().UnixMs(), reason);
  } else {
    reason = reader.LastReason();
  }
  Tell(aCause, settings ? "taken" : "refused", reason.m_text);
  if (settings) {
    m_handler(*settings);
  }
}

void
SettingsWatch::Tell(Cause aCause,
                    std::string_view aOutcome,
                    std::string_view aFault)
{
  m_log.Write(DecisionEvent::Reloaded, [&](DecisionLine& aLine) {
    aLine.Add("why", aCause == Cause::Signal ? "SIGHUP" : "changed")
      .Add("outcome", aOutcome)
      .Add("fault", aFault);
  });
}

} // namespace parsleycove
