// Tests of documents, joins and repair with real replicas.
#include <algorithm>
#include <atomic>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "Control/Cluster.h"
#include "Control/GroupMembershipClient.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

state::CommandT
MakeDocument(std::uint64_t aVersion)
{
  state::PutDocumentT put;
  put.document = std::make_unique<state::RoutingDocumentT>();
  put.document->version = aVersion;
  put.document->text = "text " + std::to_string(aVersion);
  state::CommandT command;
  command.body.Set(std::move(put));
  return command;
}

std::uint64_t
VersionOf(const ControlClient& aClient)
{
  const auto view = aClient.View();
  const auto& document = view->Image().document;
  return document ? document->version : 0;
}

std::size_t
CountVoters(const feed::StatusReplyT& aStatus)
{
  return std::count_if(aStatus.replicas.begin(),
                       aStatus.replicas.end(),
                       [](const auto& aRow) { return aRow->voter; });
}

} // namespace

// clang-format off
TEST_GROUP(RepairEndToEnd)
{
  Cluster m_cluster;
  std::unique_ptr<ControlClient> m_client;

  void teardown() override { m_client.reset(); }

  void StartAll(std::size_t aTarget)
  {
    for (std::size_t i = 0; i < 3; ++i) {
      auto& options = m_cluster.Options(i);
      options.m_targetVoters = aTarget;
      options.m_minDocumentVoters = aTarget;
      options.m_memberTimeout = std::chrono::milliseconds(1500);
      m_cluster.Start(i, /*aBootstrap=*/true);
    }
    m_client = std::make_unique<ControlClient>(
      m_cluster.ClientOptions("vm-x", "zone-x"));
  }
  feed::AddReplicaT Describe(std::size_t aReplica)
  {
    const auto& options = m_cluster.Options(aReplica);
    feed::AddReplicaT self;
    self.replica = options.m_replica;
    self.vm = options.m_vm;
    self.zone = options.m_zone;
    self.address = options.m_listen.m_address;
    self.port = options.m_listen.m_port;
    return self;
  }
};
// clang-format on

TEST(RepairEndToEnd, ADocumentTakesEffectByItsVersion)
{
  StartAll(0);
  CHECK(Propose(*m_client, MakeDocument(7)).m_value->code ==
        state::ResultCode::Ok);
  CHECK(Propose(*m_client, MakeDocument(3)).m_value->code ==
        state::ResultCode::Duplicate);
  CHECK(WaitUntil([&] { return VersionOf(*m_client) == 7; }));
}

TEST(RepairEndToEnd, AConfirmedViewHoldsWhatWasAcceptedBefore)
{
  StartAll(0);
  const auto reader =
    std::make_unique<ControlClient>(m_cluster.ClientOptions("vm-y", "zone-y"));
  for (std::uint64_t version = 1; version <= 20; ++version) {
    CHECK(Propose(*m_client, MakeDocument(version)).m_value.has_value());
    std::atomic<std::uint64_t> seen{ 0 };
    reader->ConfirmView(TestDeadline(), [&](bool aOk, const ControlReason&) {
      seen = aOk ? VersionOf(*reader) : UINT64_MAX;
    });
    CHECK(WaitUntil([&] { return seen != 0; }));
    CHECK_EQUAL(version, seen.load());
  }
}

TEST(RepairEndToEnd, NoDocumentIsAcceptedWithTooFewVoters)
{
  StartAll(4);
  const auto answer = ProposeUntil(
    *m_client, MakeDocument(1), BootClock::now() + std::chrono::seconds(1));
  CHECK_FALSE(answer.m_value.has_value());
  // Changes of another kind do not wait for more voters.
  CHECK(Propose(*m_client, MakeAnnounce("e1", 1)).m_value.has_value());
}

TEST(RepairEndToEnd, ANewReplicaJoinsAndTakesTheLostOnesPlace)
{
  StartAll(3);
  CHECK(Propose(*m_client, MakeDocument(1)).m_value.has_value());
  const std::size_t leader = m_cluster.WaitForLeader();
  const std::size_t lost = (leader + 1) % 3;
  const std::uint64_t lostId = m_cluster.Options(lost).m_replica;
  m_cluster.Stop(lost);
  const std::size_t spare = m_cluster.AddSpare(77, "zone-z");
  m_cluster.Start(spare);
  boost::asio::io_context context;
  GroupMembershipClient member(context,
                               *m_client,
                               Describe(spare),
                               [](ControlLogLevel, const std::string&) {});
  member.Start();
  const bool repaired = WaitUntil([&] {
    context.poll();
    context.restart();
    const auto status = ReadStatus(*m_client);
    if (!status.m_value || CountVoters(*status.m_value) != 3) {
      return false;
    }
    return std::none_of(
      status.m_value->replicas.begin(),
      status.m_value->replicas.end(),
      [&](const auto& aRow) { return aRow->replica == lostId; });
  });
  CHECK(repaired);
  CHECK(Propose(*m_client, MakeDocument(2)).m_value.has_value());
}

// Found by a day with the group cut in two: a gateway stayed with a replica of
// the smaller half for as long as its lease ran, on an old configuration.
TEST(RepairEndToEnd, AGatewayLeavesAReplicaThatHasLostTheOthers)
{
  FreezableRelay& relay = m_cluster.AddRelay(0);
  for (std::size_t i = 0; i < 3; ++i) {
    // Longer than the test waits: only the age of the copy can tell.
    m_cluster.Options(i).m_configLease = std::chrono::seconds(120);
    m_cluster.Options(i).m_confirmInterval = std::chrono::milliseconds(100);
  }
  StartAll(0);
  m_cluster.WaitForLeader();
  CHECK(Propose(*m_client, MakeDocument(1)).m_value.has_value());
  // Reaches the replica beside the relay, so it answers all the time. No
  // replica is in its zone, so it has no other reason to turn to another one.
  ControlClientOptions options = m_cluster.ClientOptions("vm-y", "zone-x");
  options.m_seeds = { m_cluster.Options(0).m_listen };
  options.m_staleLimit = std::chrono::milliseconds(600);
  const auto reader = std::make_unique<ControlClient>(options);
  CHECK(WaitUntil([&] { return VersionOf(*reader) == 1; }));
  relay.Freeze();
  CHECK(ProposeUntil(*m_client, MakeDocument(2), TestDeadline())
          .m_value.has_value());
  CHECK(WaitUntil([&] { return VersionOf(*reader) == 2; }));
}
