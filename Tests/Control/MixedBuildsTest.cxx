// Tests of replicas and gateways of different builds. An older build is stood
// in for by a replica that states and reads a lower feature level, or by a bare
// feed that states one.
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Control/Cluster.h"
#include "Wire/FrameLink.h"
#include "Wire/MessageCodec.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using state::ResultCode;

namespace {

constexpr std::chrono::milliseconds kWithheldMs{ 1500 };

state::CommandT
MakeGatewayAnnouncement(const std::string& aVm)
{
  state::AnnounceGatewayT announce;
  announce.gateway = std::make_unique<state::EntryGatewayT>();
  announce.gateway->vm = aVm;
  announce.gateway->zone = "zone-a";
  announce.gateway->address = "127.0.0.1";
  announce.gateway->port = 80;
  state::CommandT command;
  command.body.Set(std::move(announce));
  return command;
}

// A feed of a gateway as the replica sees it: what it is sent, message by
// message.
class RawGateway final : public FrameLinkListener
{
public:
  RawGateway(const SocketAddress& aReplica, std::uint32_t aLevel)
    : m_level(aLevel)
    , m_link(FrameLink::Connect(m_context, aReplica, {}, *this))
  {
  }
  ~RawGateway() override { m_link->Close(); }
  RawGateway(const RawGateway&) = delete;
  RawGateway& operator=(const RawGateway&) = delete;

  void OnOpen(FrameLink& /*aLink*/) override
  {
    feed::HelloT hello;
    hello.vm = "raw";
    hello.zone = "zone-a";
    hello.epoch = 1;
    hello.feature_level = m_level;
    m_link->Send(EncodeFeedBody(std::move(hello)));
    Ping();
  }
  void OnFrame(FrameLink& /*aLink*/, const ReceivedFrame& aFrame) override
  {
    const auto message = DecodeFeedFrame(aFrame.m_kind, aFrame.m_payload);
    if (!message) {
      return;
    }
    if (const auto* image = message->body.AsImage()) {
      m_gateways = image->image->gateways.size();
      m_classes = image->image->classes.size();
    } else if (const auto* delta = message->body.AsDelta()) {
      m_deltas.push_back(delta->command->body.type);
    } else if (const auto* reply = message->body.AsProposeReply()) {
      m_reply = reply->status;
    } else if (message->body.AsPong() != nullptr) {
      Ping();
    }
  }
  void OnClosed(FrameLink& /*aLink*/, const WireReason& /*aReason*/) override
  {
    m_isClosed = true;
  }

  void Propose(state::CommandT aCommand)
  {
    feed::ProposeT proposal;
    proposal.id = 7;
    proposal.command = std::make_unique<state::CommandT>(std::move(aCommand));
    m_link->Send(EncodeFeedBody(std::move(proposal)));
  }
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    return WaitUntil([&] {
      m_context.poll();
      m_context.restart();
      return aCondition();
    });
  }

  std::vector<state::CommandBody> m_deltas;
  std::size_t m_gateways = 0;
  std::size_t m_classes = 0;
  std::optional<feed::ProposeStatus> m_reply;
  bool m_isClosed = false;

private:
  void Ping()
  {
    feed::PingT ping;
    ping.id = ++m_pings;
    m_link->Send(EncodeFeedBody(std::move(ping)));
  }

  const std::uint32_t m_level;
  std::uint64_t m_pings = 0;
  boost::asio::io_context m_context;
  FrameLink::Pointer m_link;
};

bool
IsApplied(const Answer<state::CommandResultT>& aAnswer)
{
  return aAnswer.m_value && aAnswer.m_value->code == ResultCode::Ok;
}

} // namespace

// clang-format off
TEST_GROUP(MixedBuilds)
{
  Cluster m_cluster;
  std::atomic<int> m_ended{ 0 };

  void setup() override
  {
    for (std::size_t i = 0; i < 3; ++i) {
      m_cluster.Options(i).m_onFatal = [this](const std::string&) { ++m_ended; };
    }
  }
  void StartAll()
  {
    for (std::size_t i = 0; i < 3; ++i) {
      m_cluster.Start(i, /*aBootstrap=*/true);
    }
    m_cluster.WaitForLeader();
  }
  std::unique_ptr<ControlClient> Connect()
  {
    return std::make_unique<ControlClient>(
      m_cluster.ClientOptions("gateway", "zone-a"));
  }
  bool IsHalted(std::size_t aReplica)
  {
    return m_cluster.Replica(aReplica).Gauges().m_isHalted.load();
  }
};

TEST(MixedBuilds, ACommandThatOneVoterDoesNotReadIsNotSent)
{
  m_cluster.Options(2).m_featureLevel = 0;
  StartAll();
  const auto client = Connect();
  const auto withheld = ProposeUntil(*client, MakeGatewayAnnouncement("vm-9"),
                                     BootClock::now() + kWithheldMs);
  CHECK_FALSE(withheld.m_value.has_value());
  CHECK_TRUE(withheld.m_reason.m_code == ControlError::NotAccepted);
  STRCMP_EQUAL("not all control VMs read commands of feature level 1",
               withheld.m_reason.m_text.c_str());
  CHECK_TRUE(IsApplied(Propose(*client, MakeChange("c1", 0, "fast"))));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(IsHalted(i));
  }
  LONGS_EQUAL(0, m_ended.load());
}

TEST(MixedBuilds, TheLastVoterOfTheOldBuildOpensTheLevelWhenItIsReplaced)
{
  m_cluster.Options(2).m_featureLevel = 0;
  StartAll();
  const auto client = Connect();
  CHECK_TRUE(IsApplied(Propose(*client, MakeChange("c1", 0, "fast"))));
  LONGS_EQUAL(0, m_cluster.Replica(0).Gauges().m_featureLevel.load());
  m_cluster.Stop(2);
  m_cluster.Options(2).m_featureLevel = kFeatureLevel;
  m_cluster.Start(2);
  CHECK_TRUE(IsApplied(Propose(*client, MakeGatewayAnnouncement("vm-9"))));
}

TEST(MixedBuilds, AnAgreedLevelOutlivesAllProcessesWhileAVoterIsDown)
{
  StartAll();
  const auto client = Connect();
  CHECK_TRUE(IsApplied(Propose(*client, MakeGatewayAnnouncement("vm-8"))));
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Stop(i);
  }
  m_cluster.Start(0);
  m_cluster.Start(1);
  CHECK_TRUE(IsApplied(Propose(*client, MakeGatewayAnnouncement("vm-9"))));
}

TEST(MixedBuilds, AReplicaThatCannotReadItsLogStopsButDoesNotEnd)
{
  StartAll();
  const auto client = Connect();
  CHECK_TRUE(IsApplied(Propose(*client, MakeGatewayAnnouncement("vm-8"))));
  m_cluster.Stop(2);
  m_cluster.Options(2).m_featureLevel = 0;
  m_cluster.Start(2);
  CHECK_TRUE(WaitUntil([&] { return IsHalted(2); }));
  LONGS_EQUAL(0, m_ended.load());
  CHECK_TRUE(m_cluster.IsRunning(2));
  // The others go on.
  CHECK_TRUE(IsApplied(Propose(*client, MakeChange("c1", 0, "fast"))));
  // It holds its log: a build that reads the command continues with it.
  m_cluster.Stop(2);
  m_cluster.Options(2).m_featureLevel = kFeatureLevel;
  m_cluster.Start(2);
  const std::uint64_t applied = m_cluster.Replica(0).AppliedIndex();
  CHECK_TRUE(WaitUntil(
    [&] { return m_cluster.Replica(2).AppliedIndex() >= applied; }));
  CHECK_FALSE(IsHalted(2));
}

TEST(MixedBuilds, AGatewayOfAnOlderBuildGetsImagesInPlaceOfUnknownCommands)
{
  StartAll();
  const auto client = Connect();
  RawGateway old(m_cluster.Address(0), /*aLevel=*/0);
  CHECK_TRUE(IsApplied(Propose(*client, MakeChange("c1", 0, "fast"))));
  CHECK_TRUE(old.RunUntil(
    [&] { return old.m_classes == 1 || !old.m_deltas.empty(); }));
  CHECK_TRUE(IsApplied(Propose(*client, MakeGatewayAnnouncement("vm-8"))));
  CHECK_TRUE(old.RunUntil([&] { return old.m_gateways == 1; }));
  CHECK_TRUE(IsApplied(Propose(*client, MakeChange("c2", 1, "slow"))));
  CHECK_TRUE(old.RunUntil([&] {
    return old.m_classes == 2 ||
           (!old.m_deltas.empty() &&
            old.m_deltas.back() == state::CommandBody::ApplyChange);
  }));
  for (const state::CommandBody kind : old.m_deltas) {
    CHECK_TRUE(kind == state::CommandBody::ApplyChange);
  }
  CHECK_FALSE(old.m_isClosed);
}

TEST(MixedBuilds, ACommandOfAKindThatTheLeaderDoesNotKnowIsNotWritten)
{
  StartAll();
  const auto client = Connect();
  RawGateway newer(m_cluster.Address(m_cluster.WaitForLeader()),
                   kFeatureLevel + 1);
  state::CommandT unknown;
  unknown.body.type = static_cast<state::CommandBody>(200);
  newer.Propose(std::move(unknown));
  CHECK_TRUE(newer.RunUntil([&] { return newer.m_reply.has_value(); }));
  CHECK_TRUE(newer.m_reply == feed::ProposeStatus::NotLeader);
  CHECK_TRUE(IsApplied(Propose(*client, MakeChange("c1", 0, "fast"))));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(IsHalted(i));
  }
  LONGS_EQUAL(0, m_ended.load());
}
// clang-format on
