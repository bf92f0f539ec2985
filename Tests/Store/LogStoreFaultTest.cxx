// Tests of the store under failing, tearing and damaged files.
#include "Store/LogStore.h"

#include <algorithm>

#include "MemoryFiles.h"

#include "Store/FolderScan.h"
#include "Store/Record.h"
#include "Store/RecordTable.h"
#include "Store/SnapshotFile.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;

namespace {

const char* const kFolder = "data";
constexpr std::uint64_t kReplica = 5;
constexpr std::uint64_t kCluster = 77;

consensus::HardStateT
MakeHardState(std::uint64_t aTerm, std::uint64_t aVote)
{
  consensus::HardStateT state;
  state.replica = kReplica;
  state.cluster = kCluster;
  state.term = aTerm;
  state.vote = aVote;
  return state;
}

std::vector<std::uint8_t>
MakeData(std::uint64_t aIndex)
{
  return std::vector<std::uint8_t>(20, static_cast<std::uint8_t>(aIndex));
}

std::vector<consensus::EntryT>
MakeEntries(std::uint64_t aFirst, std::uint64_t aLast, std::uint64_t aTerm)
{
  std::vector<consensus::EntryT> entries;
  for (std::uint64_t index = aFirst; index <= aLast; ++index) {
    consensus::EntryT entry;
    entry.index = index;
    entry.term = aTerm;
    entry.kind = consensus::EntryKind::Command;
    entry.data = MakeData(index);
    entries.push_back(entry);
  }
  return entries;
}

consensus::SnapshotMetaT
MakeMeta(std::uint64_t aIndex, std::uint64_t aTerm)
{
  consensus::SnapshotMetaT meta;
  meta.index = aIndex;
  meta.term = aTerm;
  meta.membership = std::make_unique<consensus::MembershipT>();
  return meta;
}

std::unique_ptr<LogStore>
OpenStore(MemoryFiles& aFiles)
{
  StoreReason reason;
  auto store = LogStore::Open(aFiles, kFolder, reason);
  CHECK_TEXT(store != nullptr, reason.m_text.c_str());
  return store;
}

// What was promised, and what may have been replaced since.
struct Promise
{
  std::uint64_t m_term = 0;
  std::uint64_t m_vote = 0;
  std::uint64_t m_snapshot = 0;
  std::map<std::uint64_t, std::uint64_t> m_terms; // of entries, by index
  std::uint64_t m_replacedFrom = UINT64_MAX;      // by what was not promised
};

// Appends, replaces, compacts and installs; notes each success in aPromise.
void
RunScript(LogStore& aStore, Promise& aPromise)
{
  const auto append = [&](const consensus::HardStateT& aState,
                          const std::vector<consensus::EntryT>& aEntries) {
    aPromise.m_replacedFrom =
      std::min(aPromise.m_replacedFrom, aEntries.front().index);
    const bool done =
      aStore.SaveHardState(aState) && aStore.Append(aEntries) && aStore.Sync();
    if (!done) {
      return;
    }
    aPromise.m_term = aState.term;
    aPromise.m_vote = aState.vote;
    aPromise.m_terms.erase(aPromise.m_terms.lower_bound(aEntries.front().index),
                           aPromise.m_terms.end());
    for (const auto& entry : aEntries) {
      aPromise.m_terms[entry.index] = entry.term;
    }
    aPromise.m_replacedFrom = UINT64_MAX;
  };
  append(MakeHardState(1, 2), MakeEntries(1, 8, 1));
  append(MakeHardState(2, 3), MakeEntries(5, 9, 2));
  if (aStore.InstallSnapshot(MakeMeta(6, 2), { 1, 2, 3 }, true)) {
    aPromise.m_snapshot = 6;
  }
  append(MakeHardState(2, 3), MakeEntries(10, 12, 2));
  aPromise.m_replacedFrom = std::min<std::uint64_t>(aPromise.m_replacedFrom, 7);
  if (aStore.InstallSnapshot(MakeMeta(20, 2), { 4, 5 }, false)) {
    aPromise.m_snapshot = 20;
    aPromise.m_terms.clear();
    aPromise.m_replacedFrom = UINT64_MAX;
  }
  append(MakeHardState(3, 0), MakeEntries(21, 23, 3));
}

bool
Keeps(const RestoredLog& aLog, const Promise& aPromise)
{
  const std::uint64_t base = aLog.m_snapshot ? aLog.m_snapshot->index : 0;
  const auto& state = aLog.m_hardState;
  const bool votes = state.term > aPromise.m_term ||
                     (state.term == aPromise.m_term &&
                      (state.vote == aPromise.m_vote || aPromise.m_vote == 0));
  bool entries = base >= aPromise.m_snapshot;
  for (const auto& [index, term] : aPromise.m_terms) {
    if (index <= base || index >= aPromise.m_replacedFrom) {
      continue;
    }
    const std::size_t at = index - base - 1;
    entries = entries && at < aLog.m_entries.size() &&
              aLog.m_entries[at].index == index &&
              aLog.m_entries[at].term == term &&
              aLog.m_entries[at].data == MakeData(index);
  }
  return votes && entries;
}

Promise
FillStore(MemoryFiles& aFiles)
{
  StoreReason reason;
  const auto store = LogStore::Open(aFiles, kFolder, reason);
  Promise promise;
  RunScript(*store, promise);
  CHECK_EQUAL(23, promise.m_terms.rbegin()->first);
  return promise;
}

// Goes on behind what was restored; returns the new entry's index.
std::uint64_t
AppendOne(LogStore& aStore)
{
  const RestoredLog& log = aStore.Restored();
  const std::uint64_t base = log.m_snapshot ? log.m_snapshot->index : 0;
  const std::uint64_t next = base + log.m_entries.size() + 1;
  CHECK(aStore.SaveHardState(MakeHardState(9, 1)));
  CHECK(aStore.Append(MakeEntries(next, next, 9)) && aStore.Sync());
  return next;
}

void
CheckDamaged(MemoryFiles& aFiles)
{
  StoreReason reason;
  POINTERS_EQUAL(nullptr, LogStore::Open(aFiles, kFolder, reason).get());
  CHECK(reason.m_code == StoreError::Damage);
  STRCMP_CONTAINS("under a new replica id", reason.m_text.c_str());
}

StoreError
ExpectError(DiskFault aFault)
{
  switch (aFault) {
    case DiskFault::DiskFull:
      return StoreError::DiskFull;
    case DiskFault::TooManyFiles:
      return StoreError::TooManyFiles;
    case DiskFault::Access:
      return StoreError::Access;
    case DiskFault::Io:
    case DiskFault::FalseSync:
      return StoreError::Io;
  }
  return StoreError::None;
}

} // namespace

TEST_GROUP(LogStoreFault){};

TEST(LogStoreFault, KeepsAllPromisesWhicheverOperationFails)
{
  MemoryFiles whole;
  FillStore(whole);
  const std::size_t keeps[] = { 0, 1, 13, 100, 10000 };
  for (std::uint64_t at = 1; at <= whole.Operations(); ++at) {
    for (const DiskFault fault : { DiskFault::Io,
                                   DiskFault::DiskFull,
                                   DiskFault::FalseSync,
                                   DiskFault::TooManyFiles,
                                   DiskFault::Access }) {
      for (const std::size_t kept : keeps) {
        MemoryFiles files;
        files.FailAt(at, fault);
        StoreReason reason;
        Promise promise;
        if (auto store = LogStore::Open(files, kFolder, reason)) {
          RunScript(*store, promise);
          reason = store->LastReason();
          CHECK_FALSE(store->Sync());
        }
        CHECK(reason.m_code == ExpectError(fault));
        files.LosePower(kept);
        auto store = OpenStore(files);
        CHECK_TEXT(Keeps(store->Restored(), promise), "a promise is broken");
        const std::uint64_t next = AppendOne(*store);
        store.reset();
        store = OpenStore(files);
        CHECK_EQUAL(next, store->Restored().m_entries.back().index);
      }
    }
  }
}

TEST(LogStoreFault, NeverTakesUnsyncedBytesForStoredAfterARestart)
{
  MemoryFiles files;
  auto store = OpenStore(files);
  CHECK(store->SaveHardState(MakeHardState(1, 0)) && store->Sync());
  CHECK(store->Append(MakeEntries(1, 3, 1)));
  files.FailAt(files.Operations() + 2, DiskFault::FalseSync);
  CHECK_FALSE(store->Sync());
  store.reset();
  store = OpenStore(files);
  const std::size_t restored = store->Restored().m_entries.size();
  CHECK_EQUAL(3, restored);
  store.reset();
  files.LosePower(0);
  store = OpenStore(files);
  CHECK_EQUAL(restored, store->Restored().m_entries.size());
}

TEST(LogStoreFault, FindsEveryFlippedBitOrLosesNothing)
{
  MemoryFiles files;
  const Promise promise = FillStore(files);
  for (const std::string& path : files.Paths()) {
    for (std::size_t at = 0; at < files.Bytes(path).size(); ++at) {
      MemoryFiles copy;
      FillStore(copy);
      copy.Bytes(path)[at] ^= 0x10;
      StoreReason reason;
      const auto store = LogStore::Open(copy, kFolder, reason);
      if (store) {
        const std::vector<std::uint8_t> state{ 4, 5 };
        CHECK_TEXT(store->ReadSnapshot(reason) == state, path.c_str());
        CHECK_TEXT(Keeps(store->Restored(), promise), path.c_str());
      } else {
        CHECK_TEXT(reason.m_code == StoreError::Damage, path.c_str());
      }
    }
  }
}

TEST(LogStoreFault, RefusesABrokenEntryThatWasTheLastOneSynced)
{
  MemoryFiles files;
  FillStore(files);
  const std::string path = files.Paths()[1];
  STRCMP_CONTAINS("log-", path.c_str());
  auto& bytes = files.Bytes(path);
  const std::size_t markBytes = 16;
  bytes[bytes.size() - markBytes - 4] ^= 1;
  CheckDamaged(files);
}

TEST(LogStoreFault, RefusesAFolderThatLostAFile)
{
  MemoryFiles whole;
  FillStore(whole);
  CHECK_EQUAL(3, whole.Paths().size());
  for (const std::string& path : whole.Paths()) {
    MemoryFiles files;
    FillStore(files);
    files.Erase(path);
    CheckDamaged(files);
  }
}

TEST(LogStoreFault, RefusesALogWithoutASegmentOfItsMiddle)
{
  MemoryFiles files;
  auto store = OpenStore(files);
  CHECK(store->SaveHardState(MakeHardState(1, 0)));
  CHECK(store->Append(MakeEntries(1, 8, 1)) && store->Sync());
  CHECK(store->InstallSnapshot(MakeMeta(2, 1), { 1 }, true));
  CHECK(store->SaveHardState(MakeHardState(2, 4)) && store->Sync());
  CHECK(store->InstallSnapshot(MakeMeta(3, 1), { 1 }, true));
  store.reset();
  files.Erase(std::string(kFolder) + "/" + NameSegment(2));
  CheckDamaged(files);
}

TEST(LogStoreFault, RefusesALogThatBeginsBehindItsSnapshot)
{
  MemoryFiles files;
  FillStore(files);
  StoreReason reason;
  const auto older =
    SnapshotFile::Write(files, kFolder, MakeMeta(10, 2), { 1 }, reason);
  CHECK(older.has_value());
  files.Erase(std::string(kFolder) + "/" + NameSnapshot(20));
  CheckDamaged(files);
}

TEST(LogStoreFault, RefusesAnEntryOfATermThatIsNotStored)
{
  MemoryFiles files;
  FillStore(files);
  constexpr std::uint64_t kLastSegment = 3;
  const auto entry = EncodeTable(MakeEntries(24, 24, 99).front());
  auto& bytes = files.Bytes(std::string(kFolder) + "/" + NameSegment(3));
  AppendRecord(bytes, RecordKind::Entry, kLastSegment, entry);
  CheckDamaged(files);
}

TEST(LogStoreFault, CutsATornTailAndGoesOn)
{
  MemoryFiles files;
  auto store = OpenStore(files);
  CHECK(store->SaveHardState(MakeHardState(1, 0)));
  CHECK(store->Append(MakeEntries(1, 3, 1)) && store->Sync());
  CHECK(store->Append(MakeEntries(4, 6, 1)));
  files.FailAt(files.Operations() + 1, DiskFault::DiskFull);
  CHECK_FALSE(store->Sync());
  CHECK_FALSE(store->Append(MakeEntries(4, 4, 1)));
  STRCMP_CONTAINS("free space", store->LastReason().m_text.c_str());
  store = OpenStore(files);
  const std::uint64_t last = store->Restored().m_entries.back().index;
  CHECK(last >= 3 && last < 6);
  CHECK(store->Append(MakeEntries(last + 1, 6, 1)) && store->Sync());
  files.LosePower(0);
  store = OpenStore(files);
  CHECK_EQUAL(6, store->Restored().m_entries.back().index);
}

TEST(LogStoreFault, ClearsWhatACrashLeftHalfDone)
{
  MemoryFiles files;
  StoreReason reason;
  auto store = OpenStore(files);
  CHECK(store->SaveHardState(MakeHardState(1, 0)));
  CHECK(store->Append(MakeEntries(1, 8, 1)) && store->Sync());
  const std::uint64_t renaming = files.Operations() + 4;
  files.FailAt(renaming, DiskFault::Io);
  CHECK_FALSE(store->InstallSnapshot(MakeMeta(6, 1), { 1, 2, 3 }, true));
  store = OpenStore(files);
  CHECK(store->InstallSnapshot(MakeMeta(6, 1), { 7 }, true));
  store = OpenStore(files);
  CHECK(store->ReadSnapshot(reason) == std::vector<std::uint8_t>{ 7 });
}
