// parsleycoved: the router's process on an entry VM.
#include <iostream>

#include <unistd.h>

#include "Daemon/Daemon.h"

using namespace parsleycove;

int
main(int argc, char** argv)
{
  SettingReader reader;
  SettingReason reason;
  if (!reader.Read(argc, argv, environ)) {
    std::cerr << "parsleycoved: " << reader.LastReason().m_text << "\n";
    return static_cast<int>(DaemonExit::BadSettings);
  }
  if (reader.WantsHelp()) {
    std::cout << PrintSettingsHelp();
    return 0;
  }
  if (reader.WantsVersion()) {
    std::cout << "parsleycoved " PARSLEYCOVE_VERSION "\n";
    return 0;
  }
  const auto settings =
    DaemonSettings::Check(reader, SystemClock().UnixMs(), reason);
  if (!settings) {
    std::cerr << "parsleycoved: " << reason.m_text << "\n";
    return static_cast<int>(DaemonExit::BadSettings);
  }
  return static_cast<int>(RunDaemon(*settings));
}
