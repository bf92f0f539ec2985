// Files in memory that fail, tear and lose what was not synced.
#include "MemoryFiles.h"

#include <algorithm>
#include <cerrno>

#include "Store/StoreText.h"

namespace parsleycove::test {

namespace {

int
ToErrno(DiskFault aFault)
{
  switch (aFault) {
    case DiskFault::DiskFull:
      return ENOSPC;
    case DiskFault::TooManyFiles:
      return EMFILE;
    case DiskFault::Access:
      return EACCES;
    case DiskFault::Io:
    case DiskFault::FalseSync:
      return EIO;
  }
  return EIO;
}

class MemoryLock final : public FolderLock
{};

class MemoryAppendFile final : public AppendFile
{
public:
  MemoryAppendFile(MemoryFiles& aFiles,
                   std::string aPath,
                   std::shared_ptr<MemoryFiles::Content> aContent)
    : m_files(aFiles)
    , m_path(std::move(aPath))
    , m_content(std::move(aContent))
  {
  }

  bool Append(std::span<const std::uint8_t> aBytes,
              StoreReason& aReason) override
  {
    const bool done = m_files.BeginWrite(m_path, aReason);
    const bool half = !done && m_files.Planned() == DiskFault::DiskFull;
    const auto taken =
      done ? aBytes : aBytes.first(half ? aBytes.size() / 2 : 0);
    auto& bytes = m_content->m_bytes;
    bytes.insert(bytes.end(), taken.begin(), taken.end());
    return done;
  }

  bool Sync(StoreReason& aReason) override
  {
    if (!m_files.Begin(m_path, aReason)) {
      const bool lost = m_files.Planned() == DiskFault::FalseSync;
      m_content->m_lost = lost ? m_content->m_bytes.size() : 0;
      return false;
    }
    if (m_content->m_bytes.size() > m_content->m_lost &&
        m_content->m_lost <= m_content->m_synced) {
      m_content->m_synced = m_content->m_bytes.size();
    }
    return true;
  }

private:
  MemoryFiles& m_files;
  std::string m_path;
  std::shared_ptr<MemoryFiles::Content> m_content;
};

} // namespace

void
MemoryFiles::FailAt(std::uint64_t aOperation, DiskFault aFault)
{
  m_failAt = aOperation;
  m_fault = aFault;
}

void
MemoryFiles::FailFrom(std::uint64_t aOperation, DiskFault aFault)
{
  m_failFrom = aOperation;
  m_fault = aFault;
}

void
MemoryFiles::FillDisk()
{
  m_isFull = true;
  m_fault = DiskFault::DiskFull;
}

void
MemoryFiles::Heal()
{
  m_failAt = 0;
  m_failFrom = 0;
  m_isFull = false;
}

bool
MemoryFiles::Begin(const std::string& aPath, StoreReason& aReason)
{
  ++m_operations;
  if (m_operations != m_failAt &&
      (m_failFrom == 0 || m_operations < m_failFrom)) {
    return true;
  }
  aReason = MakeIoReason("call", aPath, ToErrno(m_fault));
  return false;
}

bool
MemoryFiles::BeginWrite(const std::string& aPath, StoreReason& aReason)
{
  if (!Begin(aPath, aReason)) {
    return false;
  }
  if (m_isFull) {
    aReason = MakeIoReason("write", aPath, ENOSPC);
  }
  return !m_isFull;
}

void
MemoryFiles::LosePower(std::size_t aKeptBytes)
{
  m_live = m_durable;
  for (auto& [path, content] : m_live) {
    const std::size_t kept =
      content->m_lost == 0 ? content->m_synced + aKeptBytes : content->m_synced;
    content->m_bytes.resize(std::min(kept, content->m_bytes.size()));
    content->m_synced = content->m_bytes.size();
    content->m_lost = 0;
  }
}

std::vector<std::uint8_t>&
MemoryFiles::Bytes(const std::string& aPath)
{
  return m_live.at(aPath)->m_bytes;
}

std::vector<std::string>
MemoryFiles::Paths() const
{
  std::vector<std::string> paths;
  for (const auto& [path, content] : m_live) {
    paths.push_back(path);
  }
  return paths;
}

void
MemoryFiles::Erase(const std::string& aPath)
{
  m_live.erase(aPath);
  m_durable.erase(aPath);
}

bool
MemoryFiles::CreateFolder(const std::string& aFolder, StoreReason& aReason)
{
  return Begin(aFolder, aReason);
}

std::unique_ptr<FolderLock>
MemoryFiles::Lock(const std::string& aPath, StoreReason& aReason)
{
  return Begin(aPath, aReason) ? std::make_unique<MemoryLock>() : nullptr;
}

std::optional<std::vector<std::string>>
MemoryFiles::List(const std::string& aFolder, StoreReason& aReason)
{
  if (!Begin(aFolder, aReason)) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& [path, content] : m_live) {
    names.push_back(path.substr(aFolder.size() + 1));
  }
  return names;
}

std::optional<std::vector<std::uint8_t>>
MemoryFiles::Read(const std::string& aPath, StoreReason& aReason)
{
  return ReadRange(aPath, 0, SIZE_MAX, aReason);
}

std::optional<std::vector<std::uint8_t>>
MemoryFiles::ReadRange(const std::string& aPath,
                       std::uint64_t aOffset,
                       std::size_t aSize,
                       StoreReason& aReason)
{
  if (!Begin(aPath, aReason)) {
    return std::nullopt;
  }
  const auto found = m_live.find(aPath);
  if (found == m_live.end()) {
    aReason = MakeIoReason("open", aPath, ENOENT);
    return std::nullopt;
  }
  const auto& bytes = found->second->m_bytes;
  const std::size_t begin = std::min<std::size_t>(aOffset, bytes.size());
  const std::size_t size = std::min(aSize, bytes.size() - begin);
  return std::vector<std::uint8_t>(bytes.begin() + begin,
                                   bytes.begin() + begin + size);
}

std::unique_ptr<AppendFile>
MemoryFiles::OpenAppend(const std::string& aPath, StoreReason& aReason)
{
  if (!Begin(aPath, aReason)) {
    return nullptr;
  }
  auto& content = m_live[aPath];
  if (!content) {
    content = std::make_shared<Content>();
  }
  return std::make_unique<MemoryAppendFile>(*this, aPath, content);
}

bool
MemoryFiles::Rename(const std::string& aFrom,
                    const std::string& aTo,
                    StoreReason& aReason)
{
  if (!Begin(aFrom, aReason)) {
    return false;
  }
  m_live[aTo] = m_live.at(aFrom);
  m_live.erase(aFrom);
  return true;
}

bool
MemoryFiles::Remove(const std::string& aPath, StoreReason& aReason)
{
  if (!Begin(aPath, aReason)) {
    return false;
  }
  m_live.erase(aPath);
  return true;
}

bool
MemoryFiles::SyncFolder(const std::string& aFolder, StoreReason& aReason)
{
  if (!Begin(aFolder, aReason)) {
    return false;
  }
  m_durable = m_live;
  return true;
}

} // namespace parsleycove::test
