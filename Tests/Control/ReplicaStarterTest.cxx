// Tests a control replica whose disk refuses calls for a while, for each
// operation and error in turn. Guards against a full disk that is taken for a
// lost one.
#include "Control/ReplicaStarter.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Control/ReplicaCore.h"
#include "Store/IdentityFile.h"
#include "Store/MemoryFiles.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using test::DiskFault;
using test::MemoryFiles;

namespace {

constexpr char kFolder[] = "data";
constexpr std::uint64_t kUnixMs = 1'765'000'000'000;
constexpr int kProposals = 8;
constexpr int kTicks = 100;
constexpr std::chrono::milliseconds kTickMs{ 50 };

class SilentListener final : public ReplicaCoreListener
{
public:
  void SendToPeer(consensus::PeerMessageT /*aMessage*/) override {}
  void OnConfigChanged(std::uint64_t /*aIndex*/,
                       const state::CommandT& /*aCommand*/) override
  {
  }
  void OnStateReplaced() override {}
  void OnReport(const FollowerReport& /*aReport*/) override {}
  void OnFatal(const std::string& /*aText*/) override {}
  void OnUnreadable(const std::string& /*aText*/) override {}
};

consensus::MembershipT
MakeMembership(const ReplicaSeed& aSeed)
{
  auto member = std::make_unique<consensus::MemberT>();
  member->replica = aSeed.m_replica;
  member->vm = aSeed.m_vm;
  member->zone = "zone-a";
  member->address = aSeed.m_address.m_address;
  member->port = aSeed.m_address.m_port;
  member->voter = true;
  consensus::MembershipT membership;
  membership.members.push_back(std::move(member));
  return membership;
}

state::CommandT
MakeReservation(const std::string& aKey)
{
  state::ReserveActionT reserve;
  reserve.account = "account";
  reserve.key = aKey;
  reserve.fingerprint = "f";
  reserve.gateway = "gateway";
  reserve.gateway_epoch = 1;
  reserve.unix_ms = 1000;
  state::CommandT command;
  command.body.Set(std::move(reserve));
  return command;
}

// One process of a control VM whose group has no other member.
class ControlRun
{
public:
  explicit ControlRun(MemoryFiles& aFiles)
    : m_files(aFiles)
    , m_starter(aFiles, MakeStart(), [this] { return ++m_drawn; })
  {
  }

  ReplicaStartResult Start()
  {
    return m_starter.Try(
      kUnixMs,
      [this](const ReplicaIdentity& aIdentity, ControlServiceReason& aReason) {
        m_identity = aIdentity.m_replica;
        ReplicaCoreOptions options;
        options.m_replica.m_replica = aIdentity.m_replica;
        options.m_replica.m_cluster = 7;
        options.m_snapshotEntries = 3;
        std::optional<consensus::MembershipT> bootstrap;
        if (!aIdentity.m_bootstrap.empty()) {
          bootstrap = MakeMembership(aIdentity.m_bootstrap.front());
        }
        m_core = ReplicaCore::Open(
          m_files, kFolder, options, bootstrap, m_now, m_listener, aReason);
        return m_core != nullptr;
      });
  }

  // Reserves each key that is missing, as long as the store works. Adds the
  // acknowledged ones to aAcknowledged.
  void Reserve(std::set<std::string>& aAcknowledged)
  {
    bool works = m_core->ProcessReady(m_now);
    for (int i = 0; works && i < kTicks; ++i) {
      m_now += kTickMs;
      m_core->Tick(m_now);
      works = m_core->ProcessReady(m_now);
      works = works && m_core->Log().Role() != ReplicaRole::Leader;
    }
    for (int i = 0; i < kProposals; ++i) {
      const std::string key = std::to_string(i);
      m_core->Propose(m_now,
                      MakeReservation(key),
                      [&](const std::optional<state::CommandResultT>& aResult) {
                        if (aResult) {
                          aAcknowledged.insert(key);
                        }
                      });
      m_core->ProcessReady(m_now);
    }
  }

  MemoryFiles& m_files;
  TimePoint m_now{ std::chrono::seconds(1000) };
  SilentListener m_listener;
  std::uint64_t m_drawn = 0;
  std::uint64_t m_identity = 0;
  ReplicaStarter m_starter;
  std::unique_ptr<ReplicaCore> m_core;

private:
  static ReplicaStart MakeStart()
  {
    ReplicaStart start;
    start.m_folder = kFolder;
    start.m_own = { "10.0.0.1", 7000 };
    start.m_founders = { start.m_own };
    start.m_isFirstStart = true;
    return start;
  }
};

std::string
Describe(std::uint64_t aOperation, DiskFault aFault)
{
  return "operation " + std::to_string(aOperation) + ", fault " +
         std::to_string(static_cast<int>(aFault));
}

void
CheckNothingGivenUp(const MemoryFiles& aFiles, const std::string& aCase)
{
  for (const std::string& path : aFiles.Paths()) {
    CHECK_TEXT(path.find("damaged") == std::string::npos, aCase.c_str());
  }
}

// How long an operation goes on failing.
enum class FaultLength
{
  Once,
  UntilHealed,
};

// Runs one process on a disk that fails at an operation, then starts it again
// until the disk is good. Returns whether the fault was met at all.
bool
PlayFault(MemoryFiles& aFiles,
          std::uint64_t aOperation,
          DiskFault aFault,
          FaultLength aLength)
{
  const bool isLasting = aLength == FaultLength::UntilHealed;
  const std::string name = Describe(aOperation, aFault);
  std::set<std::string> acknowledged;
  std::uint64_t identity = 0;
  if (isLasting) {
    aFiles.FailFrom(aOperation, aFault);
  } else {
    aFiles.FailAt(aOperation, aFault);
  }
  {
    ControlRun run(aFiles);
    const auto result = run.Start();
    CHECK_TEXT(result != ReplicaStartResult::Impossible, name.c_str());
    if (result == ReplicaStartResult::Started) {
      run.Reserve(acknowledged);
    }
    identity = run.m_identity;
  }
  const bool isMet = aFiles.Operations() >= aOperation;
  ControlRun next(aFiles);
  for (int i = 0; isMet && isLasting && i < 2; ++i) {
    CHECK_TEXT(next.Start() == ReplicaStartResult::Retry, name.c_str());
  }
  aFiles.Heal();
  CHECK_TEXT(next.Start() == ReplicaStartResult::Started,
             (name + ": " + next.m_starter.Why()).c_str());
  CHECK_TEXT(identity == 0 || identity == next.m_identity, name.c_str());
  CheckNothingGivenUp(aFiles, name);
  std::set<std::string> later;
  next.Reserve(later);
  CHECK_EQUAL_TEXT(std::size_t(kProposals), later.size(), name.c_str());
  for (const std::string& key : acknowledged) {
    CHECK_TEXT(next.m_core->State().FindAction("account", key) != nullptr,
               name.c_str());
  }
  return isMet;
}

} // namespace

// clang-format off
TEST_GROUP(ReplicaStarter)
{
  // Each operation of start, append, roll-over and snapshot.
  void PlayEachOperation(DiskFault aFault, FaultLength aLength)
  {
    constexpr std::uint64_t kFewest = 40;
    std::uint64_t operation = 1;
    for (bool isMet = true; isMet; ++operation) {
      MemoryFiles files;
      isMet = PlayFault(files, operation, aFault, aLength);
    }
    CHECK(operation > kFewest);
  }

  // Each operation of a process on a folder that holds a log and a snapshot.
  void PlayEachOperationOfALaterStart(DiskFault aFault, FaultLength aLength)
  {
    bool isMet = true;
    for (std::uint64_t operation = 1; isMet; ++operation) {
      MemoryFiles files;
      std::set<std::string> acknowledged;
      ControlRun first(files);
      CHECK(first.Start() == ReplicaStartResult::Started);
      first.Reserve(acknowledged);
      CHECK_EQUAL(std::size_t(kProposals), acknowledged.size());
      first.m_core.reset();
      const std::uint64_t at = files.Operations() + operation;
      isMet = PlayFault(files, at, aFault, aLength);
    }
  }

  void PlayEverything(DiskFault aFault)
  {
    for (const auto length : { FaultLength::Once, FaultLength::UntilHealed }) {
      PlayEachOperation(aFault, length);
      PlayEachOperationOfALaterStart(aFault, length);
    }
  }
};
// clang-format on

TEST(ReplicaStarter, NothingIsLostWhileTheDiskIsFull)
{
  PlayEverything(DiskFault::DiskFull);
}

TEST(ReplicaStarter, NothingIsLostWhileTheDiskFails)
{
  PlayEverything(DiskFault::Io);
}

TEST(ReplicaStarter, NothingIsLostWhileTooManyFilesAreOpen)
{
  PlayEverything(DiskFault::TooManyFiles);
}

TEST(ReplicaStarter, NothingIsLostWhileAccessIsDenied)
{
  PlayEverything(DiskFault::Access);
}

TEST(ReplicaStarter, AStartOnAFullDiskReadsEverything)
{
  MemoryFiles files;
  std::set<std::string> acknowledged;
  {
    ControlRun first(files);
    CHECK(first.Start() == ReplicaStartResult::Started);
    first.Reserve(acknowledged);
  }
  files.FillDisk();
  {
    ControlRun run(files);
    CHECK(run.Start() == ReplicaStartResult::Retry);
    STRCMP_CONTAINS("free space", run.m_starter.Why().c_str());
  }
  // Damage of any file is told from the full disk. A temporary file is none.
  for (const std::string& path : files.Paths()) {
    if (path.ends_with(".tmp")) {
      continue;
    }
    files.Bytes(path).front() ^= 1;
    StoreReason reason;
    POINTERS_EQUAL(nullptr, LogStore::Open(files, kFolder, reason).get());
    CHECK_TEXT(reason.m_code == StoreError::Damage, path.c_str());
    files.Bytes(path).front() ^= 1;
  }
  files.Erase(std::string(kFolder) + "/" + kIdentityName);
  StoreReason reason;
  POINTERS_EQUAL(nullptr, LogStore::Open(files, kFolder, reason).get());
  CHECK(reason.m_code == StoreError::Damage);
}

TEST(ReplicaStarter, OnlyADamagedFolderIsGivenUpAndItsFilesAreKept)
{
  MemoryFiles files;
  std::set<std::string> acknowledged;
  ControlRun run(files);
  CHECK(run.Start() == ReplicaStartResult::Started);
  run.Reserve(acknowledged);
  run.m_core.reset();
  const std::uint64_t before = run.m_identity;
  const auto paths = files.Paths();
  files.Bytes(paths.back()).back() ^= 1;
  ControlRun next(files);
  CHECK(next.Start() == ReplicaStartResult::Retry);
  STRCMP_CONTAINS("damaged-", next.m_starter.Aside().c_str());
  for (const std::string& path : paths) {
    const std::string name = path.substr(sizeof(kFolder));
    files.Bytes(kFolder + ("/" + next.m_starter.Aside()) + "/" + name);
  }
  CHECK(next.Start() == ReplicaStartResult::Started);
  CHECK(next.m_identity != before);
}
