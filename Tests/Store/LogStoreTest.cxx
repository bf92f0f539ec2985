// Tests of the store's rules on the machine's own files.
#include "Store/LogStore.h"

#include <cstdlib>
#include <filesystem>

#include "Store/DiskFiles.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

consensus::HardStateT
MakeHardState(std::uint64_t aReplica, std::uint64_t aTerm, std::uint64_t aVote)
{
  consensus::HardStateT state;
  state.replica = aReplica;
  state.cluster = 77;
  state.term = aTerm;
  state.vote = aVote;
  return state;
}

consensus::EntryT
MakeEntry(std::uint64_t aIndex, std::size_t aBytes)
{
  consensus::EntryT entry;
  entry.index = aIndex;
  entry.term = 1;
  entry.kind = consensus::EntryKind::Command;
  entry.data.assign(aBytes, 7);
  return entry;
}

} // namespace

TEST_GROUP(LogStore)
{
  void setup() override
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "store-test-XXXXXX").string();
    m_folder = mkdtemp(name.data());
    Reopen();
  }
  void teardown() override
  {
    m_store.reset();
    std::filesystem::remove_all(m_folder);
  }
  void Reopen()
  {
    m_store.reset();
    m_store = LogStore::Open(m_files, m_folder, m_reason);
    CHECK_TEXT(m_store != nullptr, m_reason.m_text.c_str());
  }

  DiskFiles m_files;
  std::string m_folder;
  StoreReason m_reason;
  std::unique_ptr<LogStore> m_store;
};

TEST(LogStore, TakesOneProcessAtATime)
{
  POINTERS_EQUAL(nullptr, LogStore::Open(m_files, m_folder, m_reason).get());
  CHECK(m_reason.m_code == StoreError::Locked);
}

TEST(LogStore, KeepsItsIdentity)
{
  CHECK(m_store->SaveHardState(MakeHardState(5, 1, 0)) && m_store->Sync());
  Reopen();
  CHECK_EQUAL(5, m_store->Restored().m_hardState.replica);
  CHECK_FALSE(m_store->SaveHardState(MakeHardState(6, 2, 0)));
  CHECK(m_store->LastReason().m_code == StoreError::Identity);
}

TEST(LogStore, FormsAClusterOnlyInANewFolder)
{
  CHECK(m_store->MarkBootstrap(5, 77));
  Reopen();
  CHECK_EQUAL(5, m_store->Restored().m_hardState.replica);
  // A crash before the first entry: the same bootstrap may go on.
  CHECK(m_store->MarkBootstrap(5, 77));
  CHECK_FALSE(m_store->MarkBootstrap(6, 78));
  CHECK(m_store->SaveHardState(MakeHardState(5, 1, 0)) && m_store->Sync());
  CHECK_FALSE(m_store->MarkBootstrap(5, 77));
}

TEST(LogStore, NeverFormsAClusterInAFolderThatJoinedOne)
{
  CHECK(m_store->SaveHardState(MakeHardState(5, 0, 0)) && m_store->Sync());
  Reopen();
  CHECK_FALSE(m_store->MarkBootstrap(5, 77));
  CHECK(m_store->LastReason().m_code == StoreError::Identity);
}

TEST(LogStore, RefusesASecondVoteAndAGap)
{
  CHECK(m_store->SaveHardState(MakeHardState(5, 1, 2)));
  CHECK_FALSE(m_store->SaveHardState(MakeHardState(5, 1, 3)));
  CHECK_FALSE(m_store->SaveHardState(MakeHardState(5, 0, 0)));
  CHECK_FALSE(m_store->Append({ MakeEntry(2, 1) }));
  CHECK(m_store->Append({ MakeEntry(1, 1) }));
  CHECK(m_store->Sync());
}

TEST(LogStore, DeletesSegmentsBehindASnapshot)
{
  CHECK(m_store->SaveHardState(MakeHardState(5, 1, 2)));
  constexpr std::uint64_t kEntries = 24;
  for (std::uint64_t index = 1; index <= kEntries; ++index) {
    CHECK(m_store->Append({ MakeEntry(index, 1 << 20) }) && m_store->Sync());
  }
  const std::uint64_t before = m_store->LogBytes();
  consensus::SnapshotMetaT meta;
  meta.index = kEntries - 4;
  meta.term = 1;
  const std::vector<std::uint8_t> state(1000, 9);
  CHECK(m_store->InstallSnapshot(meta, state, true));
  CHECK(m_store->LogBytes() < before / 2);
  Reopen();
  CHECK_EQUAL(4, m_store->Restored().m_entries.size());
  CHECK_EQUAL(2, m_store->Restored().m_hardState.vote);
  CHECK_EQUAL(4, m_store->TakeRestored().m_entries.size());
  CHECK_EQUAL(0, m_store->Restored().m_entries.size());
  CHECK(m_store->ReadSnapshot(m_reason) == state);
  CHECK_EQUAL(300, m_store->ReadSnapshotPiece(700, 500)->size());
}
