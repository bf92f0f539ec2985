// Time to restart, by entries in the log, with and without a snapshot.
#include "StoreBench.h"

#include <cstdio>

#include "Store/DiskFiles.h"
#include "Store/LogStore.h"

namespace parsleycove::bench {

namespace {

constexpr std::size_t kSnapshotBytes = 1024UL * 1024;
constexpr std::uint64_t kEntriesPerSync = 100;

bool
Fill(LogStore& aStore, std::uint64_t aEntries, std::uint64_t aSnapshotAt)
{
  bool done = aStore.SaveHardState(MakeHardState());
  for (std::uint64_t index = 1; index <= aEntries; ++index) {
    done = done && aStore.Append({ MakeEntry(index) });
    done = done && (index % kEntriesPerSync != 0 || aStore.Sync());
  }
  done = done && aStore.Sync();
  if (aSnapshotAt == 0) {
    return done;
  }
  consensus::SnapshotMetaT meta;
  meta.index = aSnapshotAt;
  meta.term = 1;
  const std::vector<std::uint8_t> state(kSnapshotBytes, 1);
  return done && aStore.InstallSnapshot(meta, state, true);
}

} // namespace

void
MeasureRestart(const std::string& aFolder,
               std::uint64_t aEntries,
               std::uint64_t aSnapshotAt)
{
  DiskFiles files;
  StoreReason reason;
  auto store = LogStore::Open(files, aFolder, reason);
  if (!store || !Fill(*store, aEntries, aSnapshotAt)) {
    std::printf("{\"error\":\"%s\"}\n", reason.m_text.c_str());
    return;
  }
  store.reset();
  const auto start = std::chrono::steady_clock::now();
  store = LogStore::Open(files, aFolder, reason);
  const bool hasState =
    store && store->ReadSnapshot(reason).has_value() == (aSnapshotAt != 0);
  const double seconds = SecondsSince(start);
  std::printf("{\"measure\":\"restart\",\"entries\":%llu,"
              "\"snapshot_at\":%llu,\"replayed\":%zu,\"ms\":%.1f}\n",
              static_cast<unsigned long long>(aEntries),
              static_cast<unsigned long long>(aSnapshotAt),
              hasState ? store->Restored().m_entries.size() : 0,
              seconds * 1000);
}

} // namespace parsleycove::bench
