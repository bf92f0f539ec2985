// Texts of the store's reasons.
#pragma once

#include <string>

#include "Store/StoreError.h"

namespace parsleycove {

// Names the damage and what an operator should do about it.
StoreReason
MakeDamage(const std::string& aPath, const std::string& aWhat);

// Turns an errno of a call on a file into a reason.
StoreReason
MakeIoReason(const std::string& aCall, const std::string& aPath, int aErrno);

} // namespace parsleycove
