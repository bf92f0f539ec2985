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
  // Well formed, but of a newer build: it has commands that this one does not
  // know.
  Unreadable,
};
using StateReason = Reason<StateError>;

} // namespace parsleycove
