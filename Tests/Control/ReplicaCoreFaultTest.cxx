// Tests a replica whose disk fails at one of its operations, for each operation
// in turn. Guards against the loss of acknowledged proposals after a loss of
// power.
#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Control/ReplicaCore.h"
#include "Store/MemoryFiles.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using test::DiskFault;
using test::MemoryFiles;

namespace {

constexpr int kProposals = 12;
constexpr int kMaxTicks = 200;
constexpr std::chrono::milliseconds kTickMs{ 50 };

class CountingListener final : public ReplicaCoreListener
{
public:
  void SendToPeer(consensus::PeerMessageT /*aMessage*/) override {}
  void OnConfigChanged(std::uint64_t /*aIndex*/,
                       const state::CommandT& /*aCommand*/) override
  {
  }
  void OnStateReplaced() override {}
  void OnReport(const FollowerReport& /*aReport*/) override {}
  void OnFatal(const std::string& /*aText*/) override { ++m_fatal; }
  void OnUnreadable(const std::string& /*aText*/) override { ++m_fatal; }

  int m_fatal = 0;
};

consensus::MembershipT
MakeGroupOfOne()
{
  auto member = std::make_unique<consensus::MemberT>();
  member->replica = 1;
  member->vm = "vm-1";
  member->zone = "zone-a";
  member->address = "127.0.0.1";
  member->port = 7000;
  member->voter = true;
  consensus::MembershipT membership;
  membership.members.push_back(std::move(member));
  return membership;
}

state::CommandT
MakeReservation(int aNumber)
{
  state::ReserveActionT reserve;
  reserve.account = "account";
  reserve.key = std::to_string(aNumber);
  reserve.fingerprint = "f";
  reserve.gateway = "gateway";
  reserve.gateway_epoch = 1;
  reserve.unix_ms = 1000;
  state::CommandT command;
  command.body.Set(std::move(reserve));
  return command;
}

constexpr std::size_t kDocumentBytes = 800'000;

state::CommandT
MakeDocument(std::uint64_t aVersion)
{
  state::PutDocumentT put;
  put.document = std::make_unique<state::RoutingDocumentT>();
  put.document->version = aVersion;
  put.document->text = std::string(kDocumentBytes, 'x');
  state::CommandT command;
  command.body.Set(std::move(put));
  return command;
}

std::size_t
CountStoredBytes(MemoryFiles& aFiles)
{
  std::size_t bytes = 0;
  for (const std::string& path : aFiles.Paths()) {
    bytes += aFiles.Bytes(path).size();
  }
  return bytes;
}

// One run of the replica, from its start to a loss of power.
class ReplicaRun
{
public:
  explicit ReplicaRun(MemoryFiles& aFiles, std::uint64_t aSnapshotEntries = 4)
  {
    ReplicaCoreOptions options;
    options.m_replica.m_replica = 1;
    options.m_replica.m_cluster = 7;
    options.m_snapshotEntries = aSnapshotEntries;
    ControlServiceReason reason;
    m_core = ReplicaCore::Open(
      aFiles, "data", options, MakeGroupOfOne(), m_now, m_listener, reason);
  }

  // Returns true once the replica is the leader, false if its store has failed
  // or no leader was elected within kMaxTicks.
  bool BecomeLeader()
  {
    for (int i = 0; m_core && i < kMaxTicks; ++i) {
      m_now += kTickMs;
      m_core->Tick(m_now);
      if (!m_core->ProcessReady(m_now)) {
        return false;
      }
      if (m_core->Log().Role() == ReplicaRole::Leader) {
        return true;
      }
    }
    return false;
  }

  // Proposes a command. Returns whether its handler received a result.
  bool Propose(const state::CommandT& aCommand)
  {
    bool applied = false;
    m_core->Propose(m_now,
                    aCommand,
                    [&](const std::optional<state::CommandResultT>& aResult) {
                      applied = aResult.has_value();
                    });
    m_core->ProcessReady(m_now);
    return applied;
  }

  // Returns the number of entries that the log holds in memory.
  std::uint64_t CountHeldEntries() const
  {
    std::uint64_t index = m_core->AppliedIndex();
    while (index > 0 && m_core->Log().DescribeSnapshot(index - 1)) {
      --index;
    }
    return m_core->AppliedIndex() - index;
  }

  TimePoint m_now{ std::chrono::seconds(1000) };
  CountingListener m_listener;
  std::unique_ptr<ReplicaCore> m_core;
};

// Proposes kProposals reservations on a disk that fails on the way. Returns the
// keys that were acknowledged.
std::vector<int>
RunUntilFault(MemoryFiles& aFiles)
{
  ReplicaRun run(aFiles);
  std::vector<int> acknowledged;
  if (!run.BecomeLeader()) {
    return acknowledged;
  }
  for (int i = 0; i < kProposals; ++i) {
    const bool failed = run.m_listener.m_fatal != 0;
    if (run.Propose(MakeReservation(i))) {
      // No proposal may be acknowledged after the store has failed.
      CHECK_FALSE(failed);
      acknowledged.push_back(i);
    }
  }
  CHECK(run.m_listener.m_fatal <= 1);
  return acknowledged;
}

} // namespace

// clang-format off
TEST_GROUP(ReplicaCoreFault)
{
  // Fails each disk operation in turn and checks that every acknowledged
  // proposal is still in the state after a loss of power.
  void FailEachOperation(DiskFault aFault)
  {
    std::size_t whole = 0;
    for (std::uint64_t operation = 1; whole < kProposals; ++operation) {
      MemoryFiles files;
      files.FailAt(operation, aFault);
      const std::vector<int> acknowledged = RunUntilFault(files);
      whole = files.Operations() < operation ? acknowledged.size() : 0;
      files.FailAt(0, aFault);
      files.LosePower(0);
      ReplicaRun next(files);
      CHECK(next.m_core != nullptr);
      CHECK(next.BecomeLeader());
      for (const int key : acknowledged) {
        CHECK(next.m_core->State().FindAction(
                "account", std::to_string(key)) != nullptr);
      }
    }
  }
};
// clang-format on

TEST(ReplicaCoreFault, AFailedOperationLosesNothingAcknowledged)
{
  FailEachOperation(DiskFault::Io);
}

TEST(ReplicaCoreFault, AFullDiskLosesNothingAcknowledged)
{
  FailEachOperation(DiskFault::DiskFull);
}

TEST(ReplicaCoreFault, ASyncThatFailsOnceLosesNothingAcknowledged)
{
  FailEachOperation(DiskFault::FalseSync);
}

TEST_GROUP(ReplicaCoreLog){};

TEST(ReplicaCoreLog, HundredsOfLargeDocumentsStayWithinMemoryAndDisk)
{
  constexpr std::uint64_t kChanges = 300;
  // The memory and the disk of a small VM, of which the log takes a part.
  constexpr std::size_t kMaxHeldBytes = 256'000'000 / 8;
  constexpr std::size_t kMaxStoredBytes = 128'000'000 / 4;
  MemoryFiles files;
  const std::uint64_t entries = ReplicaCoreOptions().m_snapshotEntries;
  std::size_t held = 0;
  std::size_t stored = 0;
  {
    ReplicaRun run(files, entries);
    CHECK(run.BecomeLeader());
    for (std::uint64_t version = 1; version <= kChanges; ++version) {
      CHECK(run.Propose(MakeDocument(version)));
      held = std::max(held, run.CountHeldEntries() * kDocumentBytes);
      stored = std::max(stored, CountStoredBytes(files));
    }
  }
  ReplicaRun again(files, entries);
  CHECK(again.BecomeLeader());
  held = std::max(held, again.CountHeldEntries() * kDocumentBytes);
  CHECK_EQUAL(kChanges, again.m_core->State().Config().document->version);
  CHECK_COMPARE(held, <=, kMaxHeldBytes);
  CHECK_COMPARE(stored, <=, kMaxStoredBytes);
}
