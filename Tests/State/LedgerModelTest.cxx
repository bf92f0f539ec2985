// Enumerates two gateways' steps on one key with failures at each of them.
#include "State/LedgerModel.h"

#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace parsleycove::test;

namespace {

constexpr int kMaxDepth = 22;

struct Exploration
{
  std::size_t m_states = 0;
  std::size_t m_ran = 0;    // states in which the call ran
  std::size_t m_notRun = 0; // states in which "not run" was told
  std::string m_fault;
};

// Visits each reachable state once, the nearest first.
Exploration
Explore(ModelWorld aFirst)
{
  Exploration result;
  std::unordered_set<std::string> seen{ aFirst.Name() };
  std::deque<ModelWorld> open;
  open.push_back(std::move(aFirst));
  while (!open.empty() && result.m_fault.empty()) {
    const ModelWorld world = std::move(open.front());
    open.pop_front();
    ++result.m_states;
    result.m_fault = world.FindFault();
    for (std::size_t i = 0; i < ModelWorld::kMaxAttempts; ++i) {
      result.m_ran += world.m_runs[i] > 0 ? 1 : 0;
      result.m_notRun += world.m_toldNotRun[i] ? 1 : 0;
    }
    if (world.m_depth == kMaxDepth) {
      continue;
    }
    for (ModelWorld& next : ListNext(world)) {
      if (seen.insert(next.Name()).second) {
        open.push_back(std::move(next));
      }
    }
  }
  return result;
}

void
CheckExploration(const ModelWorld& aFirst)
{
  const Exploration result = Explore(aFirst);
  STRCMP_EQUAL("", result.m_fault.c_str());
  // The model does reach what the invariants are about.
  CHECK(result.m_states > 1000);
  CHECK(result.m_ran > 100);
  CHECK(result.m_notRun > 100);
}

} // namespace

TEST_GROUP(LedgerModel){};

TEST(LedgerModel, TwoGatewaysRunAKeyAtMostOnce)
{
  ModelWorld world;
  world.m_gateways[0].m_vm = "A";
  world.m_gateways[1].m_vm = "B";
  CheckExploration(world);
}

TEST(LedgerModel, TwoProcessesOfOneVmRunAKeyAtMostOnce)
{
  ModelWorld world;
  world.m_gateways[0].m_vm = "A";
  world.m_gateways[1].m_vm = "A";
  world.m_gateways[1].m_epoch = 2;
  CheckExploration(world);
}
