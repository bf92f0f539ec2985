// Every fault at every step of what a group of replicas does.
#include "TestCluster.h"

#include <functional>
#include <iterator>

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Scenario = std::function<bool(TestCluster&)>;

constexpr Fault kFaults[] = { Fault::Drop,           Fault::Duplicate,
                              Fault::Delay,          Fault::CrashBeforeSync,
                              Fault::CrashAfterSync, Fault::Freeze,
                              Fault::CutIn,          Fault::CutOut,
                              Fault::CutBoth,        Fault::Wipe };

std::string
Describe(const std::vector<PlannedFault>& aFaults,
         std::size_t aCount,
         std::uint64_t aSeed)
{
  std::string text = std::to_string(aCount) + " replicas, seed " +
                     std::to_string(aSeed) + ", faults";
  for (const PlannedFault& fault : aFaults) {
    text += " " + std::to_string(static_cast<int>(fault.m_fault)) + "@" +
            std::to_string(fault.m_delivery);
  }
  return text;
}

// Returns the number of deliveries up to the scenario's end.
std::uint64_t
RunOnce(const Scenario& aScenario,
        std::size_t aCount,
        std::uint64_t aSeed,
        const std::vector<PlannedFault>& aFaults)
{
  TestCluster cluster(aCount, aSeed);
  cluster.Plan(aFaults);
  const bool done = aScenario(cluster);
  const std::uint64_t deliveries = cluster.Deliveries();
  const bool healed = cluster.Heal() && cluster.Read();
  const std::string text = Describe(aFaults, aCount, aSeed);
  STRCMP_EQUAL_TEXT("", cluster.FirstViolation().c_str(), text.c_str());
  CHECK_TEXT(done, text.c_str());
  CHECK_TEXT(healed, text.c_str());
  return deliveries;
}

void
RunSingles(const Scenario& aScenario,
           std::size_t aCount,
           std::uint64_t aSeed,
           std::uint64_t aStride)
{
  const std::uint64_t end = RunOnce(aScenario, aCount, aSeed, {});
  for (std::uint64_t at = 1; at <= end; at += aStride) {
    for (const Fault fault : kFaults) {
      RunOnce(aScenario, aCount, aSeed, { { at, fault } });
    }
  }
}

// Pairs one disk's loss at most with any other fault: two lost disks at once
// are more than three replicas survive.
void
RunPairs(const Scenario& aScenario, std::size_t aCount, std::uint64_t aSeed)
{
  constexpr std::uint64_t kStride = 17;
  const std::uint64_t gaps[] = { 1, 5 };
  const std::uint64_t end = RunOnce(aScenario, aCount, aSeed, {});
  for (std::uint64_t at = 1; at <= end; at += kStride) {
    for (const Fault first : kFaults) {
      for (const Fault second : kFaults) {
        const bool bothWiped = first == Fault::Wipe && second == Fault::Wipe;
        const std::uint64_t gap = gaps[(at / kStride) % std::size(gaps)];
        if (!bothWiped) {
          RunOnce(
            aScenario, aCount, aSeed, { { at, first }, { at + gap, second } });
        }
      }
    }
  }
}

void
RunAll(const Scenario& aScenario)
{
  RunSingles(aScenario, 3, 1, 1);
  RunSingles(aScenario, 5, 2, 5);
  RunPairs(aScenario, 3, 3);
  RunPairs(aScenario, 5, 4);
}

} // namespace

TEST_GROUP(ReplicaFault){};

TEST(ReplicaFault, Vote)
{
  RunAll([](TestCluster& aCluster) {
    aCluster.Run(seconds(2));
    return true;
  });
}

TEST(ReplicaFault, Replicate)
{
  RunAll([](TestCluster& aCluster) {
    return aCluster.Commit(1) && aCluster.Commit(2) && aCluster.Commit(3);
  });
}

TEST(ReplicaFault, Read)
{
  RunAll([](TestCluster& aCluster) {
    return aCluster.Commit(1) && aCluster.Read() && aCluster.Commit(2) &&
           aCluster.Read();
  });
}

TEST(ReplicaFault, Snapshot)
{
  RunAll([](TestCluster& aCluster) {
    bool done = aCluster.Commit(1);
    aCluster.Crash(2);
    for (std::uint8_t value = 2; value < 24; ++value) {
      const std::uint64_t leader = aCluster.Leader();
      if (leader != 0) {
        aCluster.At(leader).m_replica->Propose(aCluster.Now(), { value });
      }
    }
    // The snapshot is replaced while its chunks may be on their way.
    for (std::uint8_t value = 24; value < 28; ++value) {
      done = done && aCluster.Commit(value);
      for (auto& [id, node] : aCluster.Nodes()) {
        aCluster.Compact(id);
      }
    }
    aCluster.Run(milliseconds(500));
    return done;
  });
}

TEST(ReplicaFault, Join)
{
  RunAll([](TestCluster& aCluster) {
    return aCluster.Commit(1) && aCluster.Join("a") != 0;
  });
}

TEST(ReplicaFault, Repair)
{
  RunAll([](TestCluster& aCluster) {
    const bool done = aCluster.Commit(1);
    aCluster.Crash(3);
    return done && aCluster.Replace(3) && aCluster.Commit(2);
  });
}
