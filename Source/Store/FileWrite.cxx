// Writes whole small files so that a crash leaves the old one or the new one.
#include "Store/FileWrite.h"

namespace parsleycove {

bool
WriteWhole(Files& aFiles,
           const std::string& aFolder,
           const std::string& aName,
           std::span<const std::uint8_t> aBytes,
           StoreReason& aReason)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + kTemporaryEnding;
  const auto file = aFiles.OpenAppend(temporary, aReason);
  return file && file->Append(aBytes, aReason) && file->Sync(aReason) &&
         aFiles.Rename(temporary, path, aReason) &&
         aFiles.SyncFolder(aFolder, aReason);
}

} // namespace parsleycove
