// Tests routing documents, joining replicas and membership repair with a real
// group of replicas.
#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Control/Cluster.h"
#include "Control/GroupMembershipClient.h"
#include "Wire/FrameLink.h"
#include "Wire/MessageCodec.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
namespace asio = boost::asio;

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

// Log lines of all replicas, which write from threads of their own.
class LogLines
{
public:
  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(m_mutex);
    m_lines.push_back(aLine);
  }
  bool Contain(const std::string& aText)
  {
    const std::lock_guard lock(m_mutex);
    return std::any_of(
      m_lines.begin(), m_lines.end(), [&](const std::string& aLine) {
        return aLine.find(aText) != std::string::npos;
      });
  }

private:
  std::mutex m_mutex;
  std::vector<std::string> m_lines;
};

// Sends one request over a link of its own and keeps the answer.
class OneRequest final : public FrameLinkListener
{
public:
  OneRequest(asio::io_context& aContext,
             const SocketAddress& aTo,
             feed::AddReplicaT aRequest)
    : m_link(FrameLink::Connect(aContext, aTo, {}, *this))
  {
    m_link->Send(EncodeFeedBody(std::move(aRequest)));
  }
  ~OneRequest() override { m_link->Close(); }
  OneRequest(const OneRequest&) = delete;
  OneRequest& operator=(const OneRequest&) = delete;

  void OnOpen(FrameLink&) override {}
  void OnClosed(FrameLink&, const WireReason&) override {}
  void OnFrame(FrameLink&, const ReceivedFrame& aFrame) override
  {
    const auto message = DecodeFeedFrame(aFrame.m_kind, aFrame.m_payload);
    if (message && message->body.AsAdminReply() != nullptr) {
      m_answer = *message->body.AsAdminReply();
    }
  }
  const std::optional<feed::AdminReplyT>& Answer() const { return m_answer; }

private:
  FrameLink::Pointer m_link;
  std::optional<feed::AdminReplyT> m_answer;
};

} // namespace

// clang-format off
TEST_GROUP(RepairEndToEnd)
{
  LogLines m_lines; // before the cluster, whose threads write to it
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
      options.m_log = [this](ControlLogLevel, const std::string& aText) {
        m_lines.Add(aText);
      };
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
  // Changes of other kinds do not need the minimum of voters for documents.
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
  CHECK(m_lines.Contain("silent voters: " + std::to_string(lostId)));
  CHECK(m_lines.Contain("evidence: asked to be added; voters 3, target 3"));
  CHECK(m_lines.Contain("evidence: caught up to "));
  CHECK(m_lines.Contain("-> no member; evidence: silent for "));
}

TEST(RepairEndToEnd, AReplicaThatIsNotTheLeaderNamesIt)
{
  StartAll(0);
  CHECK(Propose(*m_client, MakeDocument(1)).m_value.has_value());
  const std::size_t leader = m_cluster.WaitForLeader();
  const std::size_t follower = (leader + 1) % 3;
  const std::size_t spare = m_cluster.AddSpare(77, "zone-z");
  boost::asio::io_context context;
  // A follower may learn of a new leader a moment after it was elected.
  const bool named = WaitUntil([&] {
    OneRequest request(context, m_cluster.Address(follower), Describe(spare));
    CHECK(WaitUntil([&] {
      context.poll();
      context.restart();
      return request.Answer().has_value();
    }));
    const feed::AdminReplyT& answer = *request.Answer();
    const SocketAddress to{ answer.leader_address, answer.leader_port };
    return answer.not_leader && to == m_cluster.Address(leader);
  });
  CHECK(named);
}

// Guards against a gateway that keeps an old configuration while the group is
// partitioned: a gateway stayed with a replica on the minority side for as long
// as its lease ran.
TEST(RepairEndToEnd, AGatewayLeavesAReplicaThatHasLostTheOthers)
{
  FreezableRelay& relay = m_cluster.AddRelay(0);
  for (std::size_t i = 0; i < 3; ++i) {
    // The lease outlasts the test, so only the age of the copy can make the
    // gateway change replicas.
    m_cluster.Options(i).m_configLease = std::chrono::seconds(120);
    m_cluster.Options(i).m_confirmInterval = std::chrono::milliseconds(100);
  }
  StartAll(0);
  m_cluster.WaitForLeader();
  CHECK(Propose(*m_client, MakeDocument(1)).m_value.has_value());
  // The reader connects to the replica directly instead of through the relay,
  // so the replica always answers. No replica is in the reader's zone, so the
  // zone gives it no reason to change replicas.
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
