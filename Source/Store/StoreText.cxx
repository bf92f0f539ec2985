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
  const std::string text =
    aPath + ": " + aCall + ": " + std::generic_category().message(aErrno);
  switch (aErrno) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
      return { StoreError::DiskFull,
               text + "; free space for the data folder" };
    case EMFILE:
    case ENFILE:
      return { StoreError::TooManyFiles, text + "; raise the limit" };
    case EACCES:
    case EPERM:
    case EROFS:
      return { StoreError::Access,
               text + "; expected the right to read and write" };
    default:
      return { StoreError::Io, text };
  }
}

} // namespace parsleycove
