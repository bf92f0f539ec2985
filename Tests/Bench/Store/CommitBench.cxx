// Durable entries a second, by entries for each sync.
#include "StoreBench.h"

#include <cstdio>

#include "Store/DiskFiles.h"
#include "Store/LogStore.h"

namespace parsleycove::bench {

void
MeasureCommits(const std::string& aFolder, std::uint64_t aGroup)
{
  constexpr std::uint64_t kSyncs = 500;
  DiskFiles files;
  StoreReason reason;
  const auto store = LogStore::Open(files, aFolder, reason);
  if (!store || !store->SaveHardState(MakeHardState())) {
    std::printf("{\"error\":\"%s\"}\n", reason.m_text.c_str());
    return;
  }
  std::uint64_t index = 0;
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t sync = 0; sync < kSyncs; ++sync) {
    std::vector<consensus::EntryT> entries;
    for (std::uint64_t i = 0; i < aGroup; ++i) {
      entries.push_back(MakeEntry(++index));
    }
    if (!store->Append(entries) || !store->Sync()) {
      std::printf("{\"error\":\"%s\"}\n", store->LastReason().m_text.c_str());
      return;
    }
  }
  const double seconds = SecondsSince(start);
  std::printf("{\"measure\":\"commits\",\"entries_per_sync\":%llu,"
              "\"entry_bytes\":%zu,\"entries_per_s\":%.0f,"
              "\"syncs_per_s\":%.0f}\n",
              static_cast<unsigned long long>(aGroup),
              kEntryBytes,
              static_cast<double>(index) / seconds,
              kSyncs / seconds);
}

} // namespace parsleycove::bench
