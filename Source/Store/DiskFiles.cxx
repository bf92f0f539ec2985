// The machine's file system behind the store's interface.
#include "Store/DiskFiles.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "Store/DiskAppendFile.h"
#include "Store/StoreText.h"

namespace parsleycove {

namespace {

constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;

// Closes a descriptor at the end of its scope.
class Descriptor
{
public:
  Descriptor(const std::string& aPath, int aFlags)
    : m_value(open(aPath.c_str(), aFlags | O_CLOEXEC, kFileMode))
  {
  }
  ~Descriptor()
  {
    if (m_value >= 0) {
      close(m_value);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Get() const { return m_value; }
  bool IsOpen() const { return m_value >= 0; }
  int Release() { return std::exchange(m_value, -1); }

private:
  int m_value;
};

// Holds an advisory lock; the system drops it when the process ends.
class DiskLock final : public FolderLock
{
public:
  explicit DiskLock(const std::string& aPath)
    : m_descriptor(aPath, O_RDWR | O_CREAT)
  {
  }
  bool IsOpen() const { return m_descriptor.IsOpen(); }
  bool Take() { return flock(m_descriptor.Get(), LOCK_EX | LOCK_NB) == 0; }

private:
  Descriptor m_descriptor;
};

// Reads until the end of the file or the size.
std::optional<std::vector<std::uint8_t>>
ReadAt(const std::string& aPath,
       std::uint64_t aOffset,
       std::size_t aSize,
       StoreReason& aReason)
{
  const Descriptor file(aPath, O_RDONLY);
  std::vector<std::uint8_t> bytes(aSize);
  std::size_t done = 0;
  while (file.IsOpen() && done < aSize) {
    const ssize_t got = pread(file.Get(),
                              bytes.data() + done,
                              aSize - done,
                              static_cast<off_t>(aOffset + done));
    if (got == 0) {
      break;
    }
    if (got < 0 && errno != EINTR) {
      aReason = MakeIoReason("read", aPath, errno);
      return std::nullopt;
    }
    done += got > 0 ? static_cast<std::size_t>(got) : 0;
  }
  if (!file.IsOpen()) {
    aReason = MakeIoReason("open", aPath, errno);
    return std::nullopt;
  }
  bytes.resize(done);
  return bytes;
}

bool
Check(int aResult,
      const std::string& aCall,
      const std::string& aPath,
      StoreReason& aReason)
{
  if (aResult != 0) {
    aReason = MakeIoReason(aCall, aPath, errno);
  }
  return aResult == 0;
}

} // namespace

bool
DiskFiles::CreateFolder(const std::string& aFolder, StoreReason& aReason)
{
  if (mkdir(aFolder.c_str(), kFolderMode) == 0 || errno == EEXIST) {
    return true;
  }
  aReason = MakeIoReason("mkdir", aFolder, errno);
  return false;
}

std::unique_ptr<FolderLock>
DiskFiles::Lock(const std::string& aPath, StoreReason& aReason)
{
  auto lock = std::make_unique<DiskLock>(aPath);
  if (!lock->IsOpen()) {
    aReason = MakeIoReason("open", aPath, errno);
    return nullptr;
  }
  if (!lock->Take()) {
    if (errno != EWOULDBLOCK) {
      aReason = MakeIoReason("flock", aPath, errno);
      return nullptr;
    }
    aReason.Set(StoreError::Locked,
                aPath + ": held by another process; expected one process "
                        "for each data folder");
    return nullptr;
  }
  return lock;
}

std::optional<std::vector<std::string>>
DiskFiles::List(const std::string& aFolder, StoreReason& aReason)
{
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator entry(aFolder, error);
  while (!error && entry != std::filesystem::directory_iterator{}) {
    names.push_back(entry->path().filename().string());
    entry.increment(error);
  }
  if (error) {
    aReason = MakeIoReason("list", aFolder, error.value());
    return std::nullopt;
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<std::vector<std::uint8_t>>
DiskFiles::Read(const std::string& aPath, StoreReason& aReason)
{
  struct stat status = {};
  if (stat(aPath.c_str(), &status) != 0) {
    aReason = MakeIoReason("stat", aPath, errno);
    return std::nullopt;
  }
  return ReadAt(aPath, 0, static_cast<std::size_t>(status.st_size), aReason);
}

std::optional<std::vector<std::uint8_t>>
DiskFiles::ReadRange(const std::string& aPath,
                     std::uint64_t aOffset,
                     std::size_t aSize,
                     StoreReason& aReason)
{
  return ReadAt(aPath, aOffset, aSize, aReason);
}

std::unique_ptr<AppendFile>
DiskFiles::OpenAppend(const std::string& aPath, StoreReason& aReason)
{
  Descriptor file(aPath, O_WRONLY | O_CREAT | O_APPEND);
  if (!file.IsOpen()) {
    aReason = MakeIoReason("open", aPath, errno);
    return nullptr;
  }
  return std::make_unique<DiskAppendFile>(file.Release(), aPath);
}

bool
DiskFiles::Rename(const std::string& aFrom,
                  const std::string& aTo,
                  StoreReason& aReason)
{
  return Check(rename(aFrom.c_str(), aTo.c_str()), "rename", aFrom, aReason);
}

bool
DiskFiles::Remove(const std::string& aPath, StoreReason& aReason)
{
  return Check(unlink(aPath.c_str()), "unlink", aPath, aReason);
}

bool
DiskFiles::SyncFolder(const std::string& aFolder, StoreReason& aReason)
{
  const Descriptor folder(aFolder, O_RDONLY | O_DIRECTORY);
  return Check(folder.IsOpen() ? 0 : -1, "open", aFolder, aReason) &&
         Check(fsync(folder.Get()), "fsync", aFolder, aReason);
}

} // namespace parsleycove
