// The disk's own sync rate, as the bound for commits.
#include "StoreBench.h"

#include <cstdio>

#include "Store/DiskFiles.h"

namespace parsleycove::bench {

void
MeasureDiskBound(const std::string& aFolder)
{
  constexpr int kSyncs = 1000;
  DiskFiles files;
  StoreReason reason;
  const auto file = files.OpenAppend(aFolder + "/bound", reason);
  const std::vector<std::uint8_t> block(kEntryBytes, 1);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kSyncs; ++i) {
    if (!file || !file->Append(block, reason) || !file->Sync(reason)) {
      std::printf("{\"error\":\"%s\"}\n", reason.m_text.c_str());
      return;
    }
  }
  std::printf("{\"measure\":\"disk_bound\",\"syncs_per_s\":%.0f}\n",
              kSyncs / SecondsSince(start));
}

} // namespace parsleycove::bench
