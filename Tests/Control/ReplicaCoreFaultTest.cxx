// Tests of a replica whose disk fails at any one of its operations.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Control/ReplicaCore.h"
#include "Store/MemoryFiles.h"

// Last, since its leak macros redefine new.
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

// One run of the replica, between a start and a loss of power.
class ReplicaRun
{
public:
  explicit ReplicaRun(MemoryFiles& aFiles)
  {
    ReplicaCoreOptions options;
    options.m_replica.m_replica = 1;
    options.m_replica.m_cluster = 7;
    options.m_snapshotEntries = 4;
    ControlServiceReason reason;
    m_core = ReplicaCore::Open(
      aFiles, "data", options, MakeGroupOfOne(), m_now, m_listener, reason);
  }

  // True once it leads; false when its store has failed.
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

  // Returns whether the proposal was answered as applied.
  bool Reserve(int aNumber)
  {
    bool applied = false;
    m_core->Propose(m_now,
                    MakeReservation(aNumber),
                    [&](const std::optional<state::CommandResultT>& aResult) {
                      applied = aResult.has_value();
                    });
    m_core->ProcessReady(m_now);
    return applied;
  }

  TimePoint m_now{ std::chrono::seconds(1000) };
  CountingListener m_listener;
  std::unique_ptr<ReplicaCore> m_core;
};

// Proposes until the disk has failed; returns the keys that were acknowledged.
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
    if (run.Reserve(i)) {
      // Nothing is promised any more once the store has failed.
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
  // Fails each operation in turn; all that was acknowledged must be there
  // after the loss of power.
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
