// Role entry: forwards callers' requests.
#pragma once

#include "Daemon/Daemon.h"

namespace parsleycove {

DaemonExit
RunEntryProcess(const DaemonSettings& aSettings,
                const SettingReader& aReader,
                Deployment& aDeployment);

} // namespace parsleycove
