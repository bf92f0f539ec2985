// The file operations that the store needs, behind an interface.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Store/StoreError.h"

namespace parsleycove {

// One open file that grows at its end.
class AppendFile
{
public:
  virtual ~AppendFile() = default;
  // Writes all bytes or fails; after a failure the file's tail is undefined.
  virtual bool Append(std::span<const std::uint8_t> aBytes,
                      StoreReason& aReason) = 0;
  virtual bool Sync(StoreReason& aReason) = 0;
};

// An exclusive lock on a folder, held as long as the object lives.
class FolderLock
{
public:
  virtual ~FolderLock() = default;
};

// Reads and changes files by their path.
class Files
{
public:
  virtual ~Files() = default;
  virtual bool CreateFolder(const std::string& aFolder,
                            StoreReason& aReason) = 0;
  virtual std::unique_ptr<FolderLock> Lock(const std::string& aPath,
                                           StoreReason& aReason) = 0;
  // Names in the folder, sorted.
  virtual std::optional<std::vector<std::string>> List(
    const std::string& aFolder,
    StoreReason& aReason) = 0;
  virtual std::optional<std::vector<std::uint8_t>> Read(
    const std::string& aPath,
    StoreReason& aReason) = 0;
  virtual std::optional<std::vector<std::uint8_t>> ReadRange(
    const std::string& aPath,
    std::uint64_t aOffset,
    std::size_t aSize,
    StoreReason& aReason) = 0;
  // Opens for appending; creates the file where it is missing.
  virtual std::unique_ptr<AppendFile> OpenAppend(const std::string& aPath,
                                                 StoreReason& aReason) = 0;
  virtual bool Rename(const std::string& aFrom,
                      const std::string& aTo,
                      StoreReason& aReason) = 0;
  virtual bool Remove(const std::string& aPath, StoreReason& aReason) = 0;
  // Makes created, renamed and removed names durable.
  virtual bool SyncFolder(const std::string& aFolder, StoreReason& aReason) = 0;
};

} // namespace parsleycove
