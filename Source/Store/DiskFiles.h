// The machine's file system behind the store's interface.
#pragma once

#include "Store/Files.h"

namespace parsleycove {

class DiskFiles final : public Files
{
public:
  bool CreateFolder(const std::string& aFolder, StoreReason& aReason) override;
  std::unique_ptr<FolderLock> Lock(const std::string& aPath,
                                   StoreReason& aReason) override;
  std::optional<std::vector<std::string>> List(const std::string& aFolder,
                                               StoreReason& aReason) override;
  std::optional<std::vector<std::uint8_t>> Read(const std::string& aPath,
                                                StoreReason& aReason) override;
  std::optional<std::vector<std::uint8_t>> ReadRange(
    const std::string& aPath,
    std::uint64_t aOffset,
    std::size_t aSize,
    StoreReason& aReason) override;
  std::unique_ptr<AppendFile> OpenAppend(const std::string& aPath,
                                         StoreReason& aReason) override;
  bool Rename(const std::string& aFrom,
              const std::string& aTo,
              StoreReason& aReason) override;
  bool Remove(const std::string& aPath, StoreReason& aReason) override;
  bool SyncFolder(const std::string& aFolder, StoreReason& aReason) override;
};

} // namespace parsleycove
