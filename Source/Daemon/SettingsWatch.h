// Notices that the settings file has changed.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Daemon/DaemonSettings.h"
#include "Telemetry/DecisionLog.h"

namespace parsleycove {

// Reads the file on SIGHUP and every second. What cannot be read or checked is
// logged and passed over; the process goes on with what it has. Each signal
// has its line; a look without one only when something is new.
class SettingsWatch
{
public:
  using Handler = std::function<void(const DaemonSettings&)>;

  SettingsWatch(boost::asio::io_context& aContext,
                SettingReader aReader,
                DecisionLog& aLog,
                Handler aHandler);

  void Start();

private:
  enum class Cause
  {
    Signal,
    Timer,
  };

  void WaitForSignal();
  void LookLater();
  void Look(Cause aCause);
  void Take(Cause aCause);
  void Tell(Cause aCause, std::string_view aOutcome, std::string_view aFault);

  const SettingReader m_reader;
  DecisionLog& m_log;
  const Handler m_handler;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  std::string m_path;
  std::string m_text;
  bool m_isReadable = false;
};

// The file's whole text; nothing when it cannot be read.
std::optional<std::string>
ReadTextFile(const std::string& aPath);

} // namespace parsleycove
