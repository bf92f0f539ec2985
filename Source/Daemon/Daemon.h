// One process of a VM: gateway, and replica where there is a data folder.
#pragma once

#include "Daemon/DaemonSettings.h"
#include "Daemon/Deployment.h"

namespace parsleycove {

// Exit codes of parsleycoved.
enum class DaemonExit
{
  Stopped = 0,
  BadSettings = 2,
  CannotStart = 3,
  StoreFailed = 4,
};

// Runs until a graceful stop has ended.
DaemonExit
RunDaemon(const DaemonSettings& aSettings,
          const SettingReader& aReader,
          Deployment& aDeployment);

} // namespace parsleycove
