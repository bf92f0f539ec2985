// Tests of connections that stay open but carry no data in one or both
// directions, and of a gateway that reads its feed too slowly.
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "Control/Cluster.h"
#include "Routing/Random.h"
#include "Wire/MessageCodec.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
namespace asio = boost::asio;

namespace {

bool
IsOk(const Answer<state::CommandResultT>& aAnswer)
{
  return aAnswer.m_value && aAnswer.m_value->code == state::ResultCode::Ok;
}

// Returns a change with aCount services, each with a prefix of about 200 bytes.
state::CommandT
MakeLongChange(const std::string& aId, std::uint64_t aBase, std::size_t aCount)
{
  state::CommandT command = MakeChange(aId, aBase, "urgent");
  auto& change = *command.body.AsApplyChange()->change;
  Random random(aBase);
  for (std::size_t i = 0; i < aCount; ++i) {
    auto service = std::make_unique<state::ServiceT>();
    service->name = "service-" + std::to_string(i);
    // Random letters, so that compression does not shorten the delta.
    std::string prefix = "/";
    while (prefix.size() <= 200) {
      prefix.push_back(static_cast<char>('a' + random.Below(26)));
    }
    service->idempotent_prefixes.push_back(std::move(prefix));
    change.put_services.push_back(std::move(service));
  }
  return command;
}

} // namespace

// clang-format off
TEST_GROUP(Silence)
{
  Cluster m_cluster;
  std::unique_ptr<ControlClient> m_client;

  void teardown() override { m_client.reset(); }

  void StartAll()
  {
    for (std::size_t i = 0; i < 3; ++i) {
      m_cluster.Start(i, /*aBootstrap=*/true);
    }
  }
  std::unique_ptr<ControlClient> Connect(const std::string& aVm,
                                         std::size_t aZone)
  {
    return std::make_unique<ControlClient>(
      m_cluster.ClientOptions(aVm, ZoneOf(aZone)));
  }
};
// clang-format on

TEST(Silence, AClientLeavesAReplicaWhoseConnectionsWentSilent)
{
  FreezableRelay& relay = m_cluster.AddRelay(0);
  StartAll();
  m_client = Connect("gateway", 0);
  const auto writer = Connect("writer", 1);
  CHECK(IsOk(Propose(*writer, MakeChange("c1", 0, "w1"))));
  CHECK(WaitUntil([&] { return m_client->View()->Revision() == 1; }));
  relay.Freeze();
  CHECK(Propose(*writer, MakeChange("c2", 1, "w2")).m_value.has_value());
  CHECK(WaitUntil([&] {
    return m_client->View()->Revision() == 2 &&
           m_client->HasLease(BootClock::now());
  }));
  const auto third = Propose(*m_client, MakeChange("c3", 2, "w3"));
  CHECK(third.m_value.has_value());
  CHECK_EQUAL(3, third.m_value->revision);
}

TEST(Silence, AClientLeavesAReplicaThatAnswersWithoutAQuorum)
{
  FreezableRelay& relay = m_cluster.AddRelay(0);
  StartAll();
  // The client connects to the replica directly; its peers use the relay.
  ControlClientOptions options = m_cluster.ClientOptions("gateway", "zone-x");
  options.m_seeds = { m_cluster.Options(0).m_listen };
  m_client = std::make_unique<ControlClient>(options);
  const auto writer = Connect("writer", 1);
  CHECK(IsOk(Propose(*writer, MakeChange("c1", 0, "w1"))));
  CHECK(WaitUntil([&] {
    return m_client->View()->Revision() == 1 &&
           m_client->HasLease(BootClock::now());
  }));
  relay.Freeze();
  CHECK(Propose(*writer, MakeChange("c2", 1, "w2")).m_value.has_value());
  CHECK(WaitUntil([&] {
    return m_client->View()->Revision() == 2 &&
           m_client->HasLease(BootClock::now());
  }));
}

TEST(Silence, ALeaderThatHearsNobodyGivesWayAndRejoinsByNewConnections)
{
  std::vector<FreezableRelay*> relays;
  for (std::size_t i = 0; i < 3; ++i) {
    relays.push_back(&m_cluster.AddRelay(i));
  }
  StartAll();
  const std::size_t leader = m_cluster.WaitForLeader();
  m_client = Connect("gateway", (leader + 1) % 3);
  CHECK(IsOk(Propose(*m_client, MakeChange("c1", 0, "w1"))));
  // The leader's messages still reach the followers; theirs do not reach the
  // leader.
  relays[leader]->Freeze();
  const auto second = Propose(*m_client, MakeChange("c2", 1, "w2"));
  CHECK(second.m_value.has_value());
  CHECK_EQUAL(2, second.m_value->revision);
  CHECK(WaitUntil([&] { return !m_cluster.Replica(leader).IsLeader(); }));
  // The old connections carry no more data; new connections work.
  relays[leader]->Thaw();
  CHECK(WaitUntil([&] {
    return m_cluster.Replica(leader).AppliedIndex() >= second.m_value->index;
  }));
}

TEST(Silence, AFeedThatIsReadTooSlowlyIsCutOffAndComesBackByImage)
{
  constexpr std::size_t kQueueBytes = 256UL * 1024;
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Options(i).m_maxFeedQueueBytes = kQueueBytes;
    m_cluster.Options(i).m_maxRingBytes = kQueueBytes;
  }
  StartAll();
  m_client = Connect("writer", 1);
  CHECK(IsOk(Propose(*m_client, MakeChange("c0", 0, "first"))));

  asio::io_context context;
  asio::ip::tcp::socket slow(context);
  slow.open(asio::ip::tcp::v4());
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  const SocketAddress address = m_cluster.Address(0);
  slow.connect({ asio::ip::make_address(address.m_address), address.m_port });
  feed::HelloT hello;
  hello.vm = "slow";
  hello.zone = ZoneOf(0);
  hello.epoch = 1;
  asio::write(slow, asio::buffer(EncodeFeedBody(std::move(hello))->Bytes()));

  // The slow gateway sends heartbeats, but reads nothing.
  const Frame::Pointer heartbeat(new Frame(FrameKind::Heartbeat, {}));
  boost::system::error_code error;
  constexpr int kMaxChanges = 400;
  int changes = 1;
  for (; changes < kMaxChanges && !error; ++changes) {
    const std::string id = "c" + std::to_string(changes);
    const auto answer = Propose(*m_client, MakeLongChange(id, changes, 300));
    CHECK_TEXT(answer.m_value.has_value(),
               (id + ": " + answer.m_reason.m_text).c_str());
    CHECK_EQUAL(static_cast<std::uint64_t>(changes) + 1,
                answer.m_value->revision);
    asio::write(slow, asio::buffer(heartbeat->Bytes()), error);
  }
  CHECK(error.failed());
  CHECK(m_client->HasLease(BootClock::now()));

  // A new client with this VM's name has no index and gets a full image.
  const auto reconnected = Connect("slow", 0);
  CHECK(WaitUntil([&] {
    return reconnected->HasLease(BootClock::now()) &&
           reconnected->View()->Revision() ==
             static_cast<std::uint64_t>(changes);
  }));
}
