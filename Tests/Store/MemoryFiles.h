// Files in memory that fail, tear and lose what was not synced.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Store/Files.h"

namespace parsleycove::test {

enum class DiskFault
{
  Io,        // the operation does nothing
  DiskFull,  // a write stops half way
  FalseSync, // a sync fails, and later ones of the same bytes do nothing
  TooManyFiles,
  Access,
};

class MemoryFiles final : public Files
{
public:
  struct Content
  {
    std::vector<std::uint8_t> m_bytes;
    std::size_t m_synced = 0; // bytes that survive a power loss
    std::size_t m_lost = 0;   // bytes that no later sync stores
  };

  // Fails the operation with this number, counted from 1.
  void FailAt(std::uint64_t aOperation, DiskFault aFault);
  // Fails all operations from this number on, until Heal.
  void FailFrom(std::uint64_t aOperation, DiskFault aFault);
  // Refuses every byte that is written, until Heal; what is stored can be read,
  // renamed and removed.
  void FillDisk();
  void Heal();
  std::uint64_t Operations() const { return m_operations; }
  // Drops all that was not synced, but for some bytes of each file.
  void LosePower(std::size_t aKeptBytes);
  std::vector<std::uint8_t>& Bytes(const std::string& aPath);
  std::vector<std::string> Paths() const;
  void Erase(const std::string& aPath);

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

  // Counts an operation; returns false if it is the one to fail.
  bool Begin(const std::string& aPath, StoreReason& aReason);
  // The same for an operation that writes bytes.
  bool BeginWrite(const std::string& aPath, StoreReason& aReason);
  DiskFault Planned() const { return m_fault; }

private:
  using Names = std::map<std::string, std::shared_ptr<Content>>;

  Names m_live;
  Names m_durable; // as of the last sync of the folder
  std::uint64_t m_operations = 0;
  std::uint64_t m_failAt = 0;   // 0: never
  std::uint64_t m_failFrom = 0; // 0: never
  bool m_isFull = false;
  DiskFault m_fault = DiskFault::Io;
};

} // namespace parsleycove::test
