// Errors of the state package.
#pragma once

#include "Base/Reason.h"

namespace parsleycove {

enum class StateError
{
  None,
  // A buffer or a text that does not have the expected form.
  Malformed,
  // Well formed, but a field has a value that is not allowed.
  Invalid,
};
using StateReason = Reason<StateError>;

} // namespace parsleycove
