// One file of the machine's file system that grows at its end.
#pragma once

#include <string>

#include "Store/Files.h"

namespace parsleycove {

class DiskAppendFile final : public AppendFile
{
public:
  DiskAppendFile(int aDescriptor, std::string aPath);
  ~DiskAppendFile() override;
  DiskAppendFile(const DiskAppendFile&) = delete;
  DiskAppendFile& operator=(const DiskAppendFile&) = delete;

  bool Append(std::span<const std::uint8_t> aBytes,
              StoreReason& aReason) override;
  bool Sync(StoreReason& aReason) override;

private:
  int m_descriptor;
  std::string m_path;
};

} // namespace parsleycove
