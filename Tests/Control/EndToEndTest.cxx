// Tests of replicas and clients together: commits, in force, lost members.
#include <memory>
#include <string>
#include <vector>

#include "Control/Cluster.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

bool
IsOk(const Answer<state::CommandResultT>& aAnswer)
{
  return aAnswer.m_value && aAnswer.m_value->code == state::ResultCode::Ok;
}

} // namespace

// clang-format off
TEST_GROUP(EndToEnd)
{
  Cluster m_cluster;
  std::unique_ptr<ControlClient> m_client;

  void setup() override
  {
    for (std::size_t i = 0; i < 3; ++i) {
      m_cluster.Start(i, /*aBootstrap=*/true);
    }
  }
  void teardown() override { m_client.reset(); }

  std::unique_ptr<ControlClient> Connect(const std::string& aVm,
                                         std::size_t aZone)
  {
    return std::make_unique<ControlClient>(
      m_cluster.ClientOptions(aVm, ZoneOf(aZone)));
  }
};
// clang-format on

TEST(EndToEnd, CommitsThroughAFollowerAndIsInForceEverywhere)
{
  const std::size_t leader = m_cluster.WaitForLeader();
  std::vector<std::unique_ptr<ControlClient>> clients;
  for (std::size_t i = 0; i < 3; ++i) {
    clients.push_back(Connect("gateway-" + std::to_string(i), i));
  }
  ControlClient& follower = *clients[(leader + 1) % 3];
  const auto first = Propose(follower, MakeChange("c1", 0, "urgent"));
  CHECK(IsOk(first));
  CHECK_EQUAL(1, first.m_value->revision);
  const std::uint64_t index = first.m_value->index;
  for (const auto& client : clients) {
    CHECK(WaitUntil([&] { return client->InForceIndex() >= index; }));
    CHECK(client->HasLease(BootClock::now()));
    CHECK(client->View()->FindClass("urgent") != nullptr);
  }
}
