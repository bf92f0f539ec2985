// parsleycoved: the router's process on an entry VM.
#include <iostream>

#include <unistd.h>

#include "Daemon/Daemon.h"
#include "Daemon/SettingsWatch.h"
#include "PlatformDeployment.h"

using namespace parsleycove;

namespace {

// The file that a setting names goes before the deployment's own.
bool
ReadSettingsFile(SettingReader& aReader,
                 const std::optional<std::string>& aDeployedFile)
{
  if (aDeployedFile && !aReader.IsGiven(SettingId::SettingsFile)) {
    aReader.SetDefault(SettingId::SettingsFile, *aDeployedFile);
  }
  if (!aReader.IsGiven(SettingId::SettingsFile)) {
    return true;
  }
  const auto text = ReadTextFile(aReader.TextOf(SettingId::SettingsFile));
  return !text || aReader.ReadFile(*text);
}

} // namespace

int
main(int argc, char** argv)
{
  platform::PlatformDeployment deployment;
  const auto deployedFile = deployment.FindSettingsFile();
  SettingReader reader;
  SettingReason reason;
  if (!reader.Read(argc, argv, environ) ||
      !ReadSettingsFile(reader, deployedFile)) {
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
  return static_cast<int>(RunDaemon(*settings, reader, deployment));
}
