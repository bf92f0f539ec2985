// Tests of replicas and clients together: commits, changes in force, failed
// quorum, restarts from disk and replacement of a failed member.
#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "Control/Cluster.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

bool
IsOk(const Answer<state::CommandResultT>& aAnswer)
{
  return aAnswer.m_value && aAnswer.m_value->code == state::ResultCode::Ok;
}

// The client sends a command again if its link breaks or the leader changes. If
// the first send has been applied, the answer is Duplicate.
bool
IsApplied(const Answer<state::CommandResultT>& aAnswer)
{
  return IsOk(aAnswer) || (aAnswer.m_value && aAnswer.m_value->code ==
                                                state::ResultCode::Duplicate);
}

std::string
Describe(const Answer<state::CommandResultT>& aAnswer)
{
  return aAnswer.m_value
           ? std::string(state::EnumNameResultCode(aAnswer.m_value->code)) +
               ": " + aAnswer.m_value->text
           : "no answer: " + aAnswer.m_reason.m_text;
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

TEST(EndToEnd, AnotherReplicaLeadsOnAndAResendGetsTheFirstAnswer)
{
  const std::size_t leader = m_cluster.WaitForLeader();
  const std::size_t other = (leader + 1) % 3;
  m_client = Connect("gateway", other);
  const auto first = Propose(*m_client, MakeChange("c1", 0, "urgent"));
  CHECK(IsOk(first));
  m_cluster.Stop(leader);
  const auto second = Propose(*m_client, MakeChange("c2", 1, "counter"));
  CHECK(second.m_value.has_value());
  CHECK_EQUAL(2, second.m_value->revision);
  // Sends change id c1 again through another replica, after the leader has
  // changed.
  const auto late = Connect("late", 3 - leader - other);
  const auto again = Propose(*late, MakeChange("c1", 0, "urgent"));
  CHECK(again.m_value.has_value());
  CHECK(again.m_value->code == state::ResultCode::Duplicate);
  CHECK_EQUAL(first.m_value->index, again.m_value->index);
  CHECK_EQUAL(1, again.m_value->revision);
  // Of two changes with an equal base revision, the second one is rejected.
  const auto loser = Propose(*late, MakeChange("c3", 1, "booking"));
  CHECK(loser.m_value.has_value());
  CHECK(loser.m_value->code == state::ResultCode::RevisionConflict);
  CHECK_EQUAL(2, loser.m_value->revision);
}

TEST(EndToEnd, EachReplicaPublishesTheBytesThatItKeeps)
{
  constexpr std::size_t kDocumentBytes = 500'000;
  m_cluster.WaitForLeader();
  m_client = Connect("gateway-0", 0);
  CHECK(IsApplied(Propose(*m_client, MakeChange("c1", 0, "urgent"))));
  state::PutDocumentT put;
  put.document = std::make_unique<state::RoutingDocumentT>();
  put.document->version = 1;
  put.document->text = std::string(kDocumentBytes, 'x');
  state::CommandT command;
  command.body.Set(std::move(put));
  CHECK(IsApplied(Propose(*m_client, std::move(command))));
  for (std::size_t i = 0; i < 3; ++i) {
    const ByteGauges& bytes = m_cluster.Replica(i).Bytes();
    CHECK(WaitUntil([&] {
      return bytes.m_log > kDocumentBytes && bytes.m_stored > kDocumentBytes &&
             bytes.m_history > 0 && bytes.m_uncommitted == 0 &&
             bytes.m_queued < kDocumentBytes;
    }));
    CHECK_EQUAL(0, bytes.m_refused.load() + bytes.m_heldBack.load());
  }
}

TEST(EndToEnd, ReadsTheLedgerThroughAnyReplica)
{
  m_cluster.WaitForLeader();
  m_client = Connect("gateway", 0);
  const auto reserved = Propose(*m_client, MakeReserve("k1", "gateway"));
  CHECK(IsOk(reserved));
  CHECK(reserved.m_value->owner);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    const auto reader = Connect("reader", zone);
    const auto record = ReadAction(*reader, "k1");
    CHECK(record.m_value.has_value());
    CHECK(record.m_value->gateway == "gateway");
    const auto none = ReadAction(*reader, "k2");
    CHECK_FALSE(none.m_value.has_value());
    CHECK(none.m_reason.m_code == ControlError::None);
  }
}

TEST(EndToEnd, AGatewayWhoseClockIsAheadMovesNoRetention)
{
  constexpr std::uint64_t kDayMs = 24ULL * 60 * 60 * 1000;
  m_cluster.WaitForLeader();
  m_client = Connect("gateway", 0);
  state::CommandT reserve = MakeReserve("k1", "gateway");
  const std::uint64_t now = SystemClock().UnixMs();
  reserve.body.AsReserveAction()->unix_ms = now + kDayMs;
  CHECK(IsOk(Propose(*m_client, std::move(reserve))));
  const auto record = ReadAction(*m_client, "k1");
  CHECK(record.m_value.has_value());
  CHECK(record.m_value->unix_ms < now + kDayMs / 2);
}

TEST(EndToEnd, WithoutAQuorumNothingIsAcceptedAndLeasesEnd)
{
  const std::size_t leader = m_cluster.WaitForLeader();
  m_client = Connect("gateway", leader);
  CHECK(IsOk(Propose(*m_client, MakeChange("c1", 0, "urgent"))));
  CHECK(WaitUntil([&] { return m_client->HasLease(BootClock::now()); }));
  m_cluster.Stop((leader + 1) % 3);
  m_cluster.Stop((leader + 2) % 3);
  // The leader still runs and answers, but no follower confirms its state.
  CHECK(WaitUntil([&] { return !m_client->HasLease(BootClock::now()); }));
  CHECK(WaitUntil([&] { return !m_cluster.Replica(leader).IsLeader(); }));
  const auto refused =
    ProposeUntil(*m_client,
                 MakeChange("c2", 1, "counter"),
                 BootClock::now() + std::chrono::milliseconds(300));
  CHECK_FALSE(refused.m_value.has_value());
  CHECK(refused.m_reason.m_code == ControlError::NotAccepted);
  CHECK_FALSE(m_client->HasLease(BootClock::now()));
  CHECK(m_client->View()->FindClass("urgent") != nullptr);
  // Once there is a quorum again, the client recovers without a restart.
  m_cluster.Start((leader + 1) % 3);
  // The change that was answered as not accepted has not used revision 2.
  const auto third = Propose(*m_client, MakeChange("c3", 1, "booking"));
  CHECK(third.m_value.has_value());
  CHECK_EQUAL(2, third.m_value->revision);
  CHECK(WaitUntil([&] {
    return m_client->HasLease(BootClock::now()) &&
           m_client->View()->Revision() == 2;
  }));
  CHECK(m_client->View()->FindClass("booking") != nullptr);
  CHECK(m_client->View()->FindClass("counter") == nullptr);
}

TEST(EndToEnd, AReplicaComesBackFromItsFolder)
{
  m_cluster.WaitForLeader();
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Options(i).m_snapshotEntries = 50;
    m_cluster.Stop(i);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Start(i);
  }
  m_client = Connect("gateway", 0);
  constexpr int kChanges = 200;
  for (int i = 0; i < kChanges; ++i) {
    const std::string number = std::to_string(i);
    const auto made =
      Propose(*m_client, MakeChange("c" + number, i, "w" + number));
    CHECK_TEXT(IsApplied(made), Describe(made).c_str());
    CHECK_EQUAL(static_cast<std::uint64_t>(i) + 1, made.m_value->revision);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Stop(i);
  }
  m_client.reset();
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Start(i);
  }
  m_client = Connect("late", 1);
  CHECK(WaitUntil([&] { return m_client->HasLease(BootClock::now()); }));
  CHECK_EQUAL(kChanges, m_client->View()->Revision());
  const auto again = Propose(*m_client, MakeChange("c7", 7, "w7"));
  CHECK(again.m_value->code == state::ResultCode::Duplicate);
  CHECK_EQUAL(8, again.m_value->revision);
}

// Fault pattern: all control processes are killed at once and come back.
TEST(EndToEnd, NoGatewayIsToldOfFewerGatewaysAfterARestartOfAllReplicas)
{
  constexpr std::size_t kGateways = 6;
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Stop(i);
    m_cluster.Options(i).m_configLease = std::chrono::seconds(3);
    m_cluster.Start(i);
  }
  std::vector<std::unique_ptr<ControlClient>> clients;
  for (std::size_t i = 0; i < kGateways; ++i) {
    clients.push_back(Connect("gateway-" + std::to_string(i), i % 3));
  }
  for (const auto& client : clients) {
    CHECK(WaitUntil([&] { return client->GatewayCount() == kGateways; }));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Stop(i);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Start(i);
  }
  std::uint32_t lowest = kGateways;
  const auto made = std::async(std::launch::async, [&] {
    return Propose(*clients[0], MakeChange("c1", 0, "urgent"));
  });
  CHECK(WaitUntil([&] {
    for (const auto& client : clients) {
      lowest = std::min(lowest, client->GatewayCount());
    }
    return std::all_of(clients.begin(), clients.end(), [](const auto& aClient) {
      return aClient->View()->FindClass("urgent") != nullptr &&
             aClient->HasLease(BootClock::now());
    });
  }));
  CHECK_EQUAL(kGateways, lowest);
}

TEST(EndToEnd, ViewsOnlyMoveForwardWhileReplicasComeAndGo)
{
  m_cluster.WaitForLeader();
  m_client = Connect("writer", 0);
  const auto reader = Connect("reader", 1);
  std::uint64_t seen = 0;
  for (int i = 0; i < 12; ++i) {
    if (i % 4 == 1) {
      m_cluster.Stop((i / 4) % 3);
    }
    const std::string number = std::to_string(i);
    const auto answer =
      Propose(*m_client, MakeChange("c" + number, i, "w" + number));
    CHECK(answer.m_value.has_value());
    CHECK_EQUAL(static_cast<std::uint64_t>(i) + 1, answer.m_value->revision);
    CHECK(WaitUntil([&] {
      const std::uint64_t index = reader->View()->Index();
      CHECK(index >= seen);
      seen = index;
      return index >= answer.m_value->index;
    }));
    if (i % 4 == 3) {
      m_cluster.Start((i / 4) % 3);
    }
  }
  CHECK_EQUAL(12, reader->View()->Revision());
}

TEST(EndToEnd, AnEndpointThatIsNotRenewedLeavesTheRegistry)
{
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Stop(i);
    m_cluster.Options(i).m_endpointLease = std::chrono::milliseconds(1500);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    m_cluster.Start(i);
  }
  m_client = Connect("gateway", 0);
  CHECK(IsOk(Propose(*m_client, MakeAnnounce("kept", 1))));
  CHECK(IsOk(Propose(*m_client, MakeAnnounce("lost", 1))));
  CHECK(WaitUntil([&] {
    m_client->RenewEndpoint("kept", 1);
    const auto view = m_client->View();
    return view->FindEndpoint("kept") != nullptr &&
           view->FindEndpoint("lost") == nullptr;
  }));
}

TEST(EndToEnd, ALearnerCatchesUpBecomesAVoterAndReplacesALostMember)
{
  const std::size_t leader = m_cluster.WaitForLeader();
  const std::size_t failed = (leader + 1) % 3;
  m_client = Connect("gateway", leader);
  for (int i = 0; i < 20; ++i) {
    const std::string number = std::to_string(i);
    const auto made =
      Propose(*m_client, MakeChange("c" + number, i, "w" + number));
    CHECK_TEXT(IsApplied(made), Describe(made).c_str());
    CHECK_EQUAL(static_cast<std::uint64_t>(i) + 1, made.m_value->revision);
  }
  m_cluster.Stop(failed);
  const std::size_t spare = m_cluster.AddSpare(4, ZoneOf(failed));
  m_cluster.Start(spare);
  feed::AddReplicaT add;
  add.replica = 4;
  add.vm = "vm-4";
  add.zone = ZoneOf(failed);
  add.address = m_cluster.Address(spare).m_address;
  add.port = m_cluster.Address(spare).m_port;
  CHECK(ChangeGroup([&](auto aHandler) {
    m_client->AddReplica(add, TestDeadline(), aHandler);
  }));
  CHECK(WaitUntil([&] {
    const auto status = ReadStatus(*m_client);
    for (const auto& member : status.m_value->replicas) {
      if (member->replica == 4 && member->voter) {
        return true;
      }
    }
    return false;
  }));
  // The status lists a voter before its promotion is committed, and the group
  // allows only one membership change at a time.
  std::string fault;
  CHECK(WaitUntil([&] {
    const bool isRemoved = ChangeGroup(
      [&](auto aHandler) {
        m_client->RemoveReplica(failed + 1, TestDeadline(), aHandler);
      },
      &fault);
    return isRemoved || fault != "membership: another change is under way";
  }));
  STRCMP_EQUAL("", fault.c_str());
  // A second member fails right after the replacement; the new voter completes
  // the quorum.
  m_cluster.Stop((leader + 2) % 3);
  const auto after = Propose(*m_client, MakeChange("c20", 20, "w20"));
  CHECK(after.m_value.has_value());
  CHECK_EQUAL(21, after.m_value->revision);
  CHECK(WaitUntil([&] {
    return m_cluster.Replica(spare).AppliedIndex() >= after.m_value->index;
  }));
}
