// Role control: a replica with the calls of operators and endpoints.
#pragma once

#include "Daemon/Daemon.h"

namespace parsleycove {

DaemonExit
RunControlProcess(const DaemonSettings& aSettings,
                  const SettingReader& aReader,
                  Deployment& aDeployment);

} // namespace parsleycove
