// Errors of the store layer.
#pragma once

#include <array>

#include "Base/EnumTable.h"
#include "Base/Reason.h"

namespace parsleycove {

enum class StoreError
{
  None,
  Locked,       // another process holds the data folder
  Io,           // the system refused a call on a file
  DiskFull,     // no space for a write
  TooManyFiles, // no descriptor is left for the process or the VM
  Access,       // no right to a file, or the file system is read-only
  Damage,       // what is stored is not what was synced
  Identity,     // the folder belongs to another replica or cluster
  Invalid,      // an argument breaks the log's rules
};
using StoreReason = Reason<StoreError>;

// Whether the folder may be sound and can be opened later, once the disk, the
// VM or the other process permits. A torn tail is not an error: it was never
// acknowledged and is cut off.
constexpr bool
MayPass(StoreError aError)
{
  return aError == StoreError::Locked || aError == StoreError::Io ||
         aError == StoreError::DiskFull || aError == StoreError::TooManyFiles ||
         aError == StoreError::Access;
}

inline constexpr std::array<EnumName<StoreError>, 9> kStoreErrorNames{ {
  { StoreError::None, "none" },
  { StoreError::Locked, "locked" },
  { StoreError::Io, "io" },
  { StoreError::DiskFull, "disk-full" },
  { StoreError::TooManyFiles, "too-many-files" },
  { StoreError::Access, "access" },
  { StoreError::Damage, "damage" },
  { StoreError::Identity, "identity" },
  { StoreError::Invalid, "invalid" },
} };

} // namespace parsleycove
