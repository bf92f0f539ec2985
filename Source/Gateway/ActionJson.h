// JSON form of ledger entries, for callers and operators.
#pragma once

#include <string>

#include "StateGenerated.h"

namespace parsleycove {

std::string
PrintAction(const state::ActionRecordT& aRecord);

} // namespace parsleycove
