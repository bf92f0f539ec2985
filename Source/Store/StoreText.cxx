// Texts of the store's reasons.
#include "Store/StoreText.h"

#include <cerrno>
#include <system_error>

namespace parsleycove {

StoreReason
MakeDamage(const std::string& aPath, const std::string& aWhat)
{
  return { StoreError::Damage,
           aPath + ": damaged: " + aWhat +
             "; move the data folder away, remove this replica from the "
             "group and start with an empty folder, so that the VM joins "
             "under a new replica id" };
}

StoreReason
MakeIoReason(const std::string& aCall, const std::string& aPath, int aErrno)
{
  const std::string what = std::generic_category().message(aErrno);
  if (aErrno == ENOSPC || aErrno == EDQUOT) {
    return { StoreError::DiskFull,
             aPath + ": " + aCall + ": " + what +
               "; free space for the data folder, then start again" };
  }
  return { StoreError::Io, aPath + ": " + aCall + ": " + what };
}

} // namespace parsleycove
