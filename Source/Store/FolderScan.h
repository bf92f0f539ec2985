// The names of the files in a data folder.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Store/Files.h"

namespace parsleycove {

// Held by the process that uses the folder.
inline constexpr char kLockName[] = "lock";

std::string
NameSegment(std::uint64_t aNumber);

std::string
NameSnapshot(std::uint64_t aIndex);

struct FolderScan
{
  std::vector<std::uint64_t> m_segments;  // rising
  std::vector<std::uint64_t> m_snapshots; // rising
  std::vector<std::string> m_temporaries;
  bool m_hasIdentity = false;
};

std::optional<FolderScan>
ScanFolder(Files& aFiles, const std::string& aFolder, StoreReason& aReason);

} // namespace parsleycove
