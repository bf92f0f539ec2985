// Errors of the store layer.
#pragma once

#include <array>

#include "Base/EnumTable.h"
#include "Base/Reason.h"

namespace parsleycove {

enum class StoreError
{
  None,
  Locked,   // another process holds the data folder
  Io,       // the system refused a call on a file
  DiskFull, // no space for a write
  Damage,   // what is stored is not what was synced
  Identity, // the folder belongs to another replica or cluster
  Invalid,  // an argument breaks the log's rules
};
using StoreReason = Reason<StoreError>;

inline constexpr std::array<EnumName<StoreError>, 7> kStoreErrorNames{ {
  { StoreError::None, "none" },
  { StoreError::Locked, "locked" },
  { StoreError::Io, "io" },
  { StoreError::DiskFull, "disk-full" },
  { StoreError::Damage, "damage" },
  { StoreError::Identity, "identity" },
  { StoreError::Invalid, "invalid" },
} };

} // namespace parsleycove
