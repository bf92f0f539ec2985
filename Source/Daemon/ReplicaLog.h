// Log lines of a control replica.
#pragma once

#include <string>

#include "Control/ReplicaServiceOptions.h"

namespace parsleycove {

void
WriteReplicaLog(ControlLogLevel aLevel, const std::string& aText);

} // namespace parsleycove
