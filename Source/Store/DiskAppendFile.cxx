// One file of the machine's file system that grows at its end.
#include "Store/DiskAppendFile.h"

#include <cerrno>

#include <unistd.h>

#include "Store/StoreText.h"

namespace parsleycove {

DiskAppendFile::DiskAppendFile(int aDescriptor, std::string aPath)
  : m_descriptor(aDescriptor)
  , m_path(std::move(aPath))
{
}

DiskAppendFile::~DiskAppendFile()
{
  close(m_descriptor);
}

bool
DiskAppendFile::Append(std::span<const std::uint8_t> aBytes,
                       StoreReason& aReason)
{
  while (!aBytes.empty()) {
    const ssize_t written = write(m_descriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      aReason = MakeIoReason("write", m_path, errno);
      return false;
    }
    aBytes = aBytes.subspan(static_cast<std::size_t>(written));
  }
  return true;
}

bool
DiskAppendFile::Sync(StoreReason& aReason)
{
  if (fdatasync(m_descriptor) != 0) {
    aReason = MakeIoReason("fdatasync", m_path, errno);
    return false;
  }
  return true;
}

} // namespace parsleycove
