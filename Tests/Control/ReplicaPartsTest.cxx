// Tests the components of the replica service that do no I/O.
#include <optional>
#include <string>
#include <vector>

#include "Control/DeltaRing.h"
#include "Control/FailureReportFilter.h"
#include "Control/GatewayCount.h"
#include "Control/LeaderMaintenance.h"
#include "Control/LeaseKey.h"
#include "Control/PeerQueueLimit.h"
#include "Control/PendingProposals.h"
#include "Control/PendingReads.h"
#include "Control/SnapshotAssembler.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::milliseconds(1000 + aMs));
}

Frame::Pointer
MakeFrame(std::size_t aSize)
{
  return { new Frame(FrameKind::Feed, std::vector<std::uint8_t>(aSize)) };
}

consensus::InstallSnapshotT
MakeChunk(std::uint64_t aIndex,
          std::uint64_t aOffset,
          const std::vector<std::uint8_t>& aData,
          bool aLast)
{
  consensus::InstallSnapshotT chunk;
  chunk.meta = std::make_unique<consensus::SnapshotMetaT>();
  chunk.meta->index = aIndex;
  chunk.meta->term = 1;
  chunk.offset = aOffset;
  chunk.data = aData;
  chunk.last = aLast;
  return chunk;
}

} // namespace

TEST_GROUP(DeltaRing){};

TEST_GROUP(FailureReportFilter){};

TEST(DeltaRing, GivesAllLaterDeltasOrNone)
{
  const std::size_t frameBytes = 100 + kFrameHeaderBytes;
  DeltaRing ring(3 * frameBytes);
  ring.Reset(10);
  for (std::uint64_t index = 11; index <= 13; ++index) {
    ring.Add(index, MakeFrame(100));
  }
  CHECK_EQUAL(3, ring.After(10)->size());
  CHECK_EQUAL(1, ring.After(12)->size());
  CHECK_FALSE(ring.After(9).has_value());
  // A gateway that is ahead of this replica gets no deltas.
  CHECK(ring.After(20)->empty());
  ring.Add(14, MakeFrame(100));
  CHECK_FALSE(ring.After(10).has_value());
  CHECK_EQUAL(3, ring.After(11)->size());
}

TEST_GROUP(PendingProposals){};

TEST(PendingProposals, AnEntryOfAnotherTermIsNotTheProposal)
{
  PendingProposals table;
  std::vector<bool> known;
  const auto note = [&](const std::optional<state::CommandResultT>& aResult) {
    known.push_back(aResult.has_value());
  };
  table.Add(5, 1, note);
  table.Add(6, 1, note);
  table.Add(7, 1, note);
  table.Resolve(4, 1, {});
  CHECK(known.empty());
  table.Resolve(5, 1, {});
  table.Resolve(6, 2, {});
  table.FailAll();
  table.Resolve(7, 1, {});
  CHECK((known == std::vector<bool>{ true, false, false }));
}

TEST_GROUP(PendingReads){};

TEST(PendingReads, WaitsForTheStateAfterTheQuorum)
{
  PendingReads table;
  std::vector<bool> answers;
  const auto note = [&](const ReadState& aRead) {
    answers.push_back(aRead.m_ok);
  };
  const auto first = table.Add(note);
  const auto second = table.Add(note);
  table.Answer({ first, 8, true, At(0) });
  table.Advance(7);
  CHECK(answers.empty());
  table.Advance(8);
  table.Answer({ second, 9, false, At(0) });
  CHECK((answers == std::vector<bool>{ true, false }));
}

TEST_GROUP(SnapshotAssembler){};

TEST(SnapshotAssembler, TakesPiecesInOrderOfOneSnapshotOnly)
{
  SnapshotAssembler assembler;
  CHECK_FALSE(assembler.Add(MakeChunk(5, 0, { 1, 2 }, false)).has_value());
  // Chunks that are missing, repeated or from another snapshot never complete
  // the snapshot.
  CHECK_FALSE(assembler.Add(MakeChunk(5, 4, { 5 }, true)).has_value());
  CHECK_FALSE(assembler.Add(MakeChunk(6, 2, { 3 }, true)).has_value());
  CHECK_FALSE(assembler.Add(MakeChunk(5, 0, { 1, 2 }, false)).has_value());
  CHECK_FALSE(assembler.Add(MakeChunk(5, 0, { 1, 2 }, false)).has_value());
  const auto whole = assembler.Add(MakeChunk(5, 2, { 3 }, true));
  CHECK(whole.has_value());
  CHECK((whole->m_state == std::vector<std::uint8_t>{ 1, 2, 3 }));
}

// clang-format off
TEST_GROUP(PeerQueueLimit)
{
  static constexpr std::size_t kMaxBytes = 1000;
  PeerQueueLimit m_limit{ kMaxBytes };

  static consensus::PeerMessageT MakeAppend()
  {
    consensus::AppendT append;
    append.previous_index = 7;
    append.commit = 7;
    append.entries.push_back(std::make_unique<consensus::EntryT>());
    consensus::PeerMessageT message;
    message.body.Set(std::move(append));
    return message;
  }
};

TEST(PeerQueueLimit, EntriesAndPiecesWaitForASlowPeerAndNothingElseDoes)
{
  auto append = MakeAppend();
  CHECK(m_limit.Admit(kMaxBytes, append));
  CHECK_EQUAL(1, append.body.AsAppend()->entries.size());
  // A follower without heartbeats would ask for an election.
  CHECK(m_limit.Admit(kMaxBytes + 1, append));
  CHECK_EQUAL(0, append.body.AsAppend()->entries.size());
  CHECK_EQUAL(7, append.body.AsAppend()->previous_index);
  CHECK(m_limit.Admit(kMaxBytes + 1, append));
  consensus::PeerMessageT piece;
  piece.body.Set(MakeChunk(5, 0, { 1 }, true));
  CHECK(m_limit.Admit(kMaxBytes, piece));
  CHECK_FALSE(m_limit.Admit(kMaxBytes + 1, piece));
  consensus::PeerMessageT vote;
  vote.body.Set(consensus::VoteT{});
  CHECK(m_limit.Admit(kMaxBytes + 1, vote));
  CHECK_EQUAL(2, m_limit.CountHeldBack());
}

// The leader sends a piece again whenever its answer is late.
TEST(PeerQueueLimit, PiecesSentAgainDoNotFillAQueueThatIsNotRead)
{
  constexpr std::size_t kPieceBytes = 100;
  const std::vector<std::uint8_t> data(kPieceBytes);
  std::size_t queued = 0;
  for (int i = 0; i < 200; ++i) {
    consensus::PeerMessageT piece;
    piece.body.Set(MakeChunk(5, 0, data, false));
    queued += m_limit.Admit(queued, piece) ? kPieceBytes : 0;
  }
  CHECK_COMPARE(queued, >, kMaxBytes);
  CHECK_COMPARE(queued, <=, kMaxBytes + kPieceBytes);
}

TEST_GROUP(LeaderMaintenance)
{
  LeaderMaintenanceOptions m_options;
  ReplicatedState m_state;

  // Reserves an action for the given process of a gateway.
  void Reserve(const std::string& aGateway, std::uint64_t aEpoch)
  {
    state::ReserveActionT reserve;
    reserve.account = "account";
    reserve.key = aGateway + std::to_string(aEpoch);
    reserve.fingerprint = "f";
    reserve.gateway = aGateway;
    reserve.gateway_epoch = aEpoch;
    reserve.unix_ms = 1;
    state::CommandT command;
    command.body.Set(std::move(reserve));
    m_state.Apply(++m_index, 1, command);
  }
  std::uint64_t m_index = 0;
};
// clang-format on

TEST(LeaderMaintenance, OnlyGatewaysThatNoReplicaReportsAreGone)
{
  m_options.m_gatewayLease = std::chrono::milliseconds(100);
  Reserve("alive", 1);
  Reserve("dead", 7);
  LeaderMaintenance maintenance(m_options, At(0), m_state.Config());
  // Within the first lease of the term, the gateways may have been reported to
  // the previous leader.
  CHECK(maintenance.FindExpired(At(99), 5, m_state).empty());
  consensus::ReadIndexT report;
  report.renewed.push_back(HashGateway("alive", 1));
  // A new process on the VM does not renew the lease of the old process.
  report.renewed.push_back(HashGateway("dead", 8));
  maintenance.RecordReport(At(90), 2, report);
  const auto commands = maintenance.FindExpired(At(100), 5, m_state);
  CHECK_EQUAL(1, commands.size());
  const auto* gone = commands[0].body.AsGatewayGone();
  CHECK(gone != nullptr);
  STRCMP_EQUAL("dead", gone->gateway.c_str());
  CHECK_EQUAL(7, gone->gateway_epoch);
  CHECK_EQUAL(2, maintenance.FindExpired(At(190), 5, m_state).size());
}

// clang-format off
TEST_GROUP(GatewayCount)
{
  GatewayCount m_count{ std::chrono::milliseconds(300), std::chrono::milliseconds(1500) };

  // Three replicas report at aMs.
  void Report(int aMs, std::uint32_t aFirst, std::uint32_t aSecond, std::uint32_t aThird, bool aHasQuorum = true)
  {
    m_count.RecordReport(At(aMs), 1, aFirst, aHasQuorum);
    m_count.RecordReport(At(aMs), 2, aSecond, aHasQuorum);
    m_count.RecordReport(At(aMs), 3, aThird, aHasQuorum);
  }
};
// clang-format on

TEST(GatewayCount, IsUnknownUntilALeaseOfReportsAfterARestart)
{
  CHECK_EQUAL(0, m_count.Get(At(0)));
  m_count.StartTerm(At(0));
  for (int now = 0; now < 300; now += 100) {
    Report(now, 1, 0, now / 100);
    CHECK_EQUAL(0, m_count.Get(At(now)));
  }
  Report(300, 1, 2, 4);
  CHECK_EQUAL(7, m_count.Get(At(300)));
}

TEST(GatewayCount, ANewLeaderKeepsTheLastNumberUntilItsOwnIsComplete)
{
  m_count.RecordLeaderCount(At(0), 7);
  m_count.RecordLeaderCount(At(10), 0);
  m_count.StartTerm(At(100));
  Report(100, 1, 0, 0);
  CHECK_EQUAL(7, m_count.Get(At(100)));
  Report(200, 3, 3, 3);
  CHECK_EQUAL(9, m_count.Get(At(200)));
  for (int now = 300; now < 700; now += 100) {
    Report(now, 2, 2, 1);
    CHECK_EQUAL(9, m_count.Get(At(now)));
  }
  Report(700, 2, 2, 1);
  CHECK_EQUAL(5, m_count.Get(At(700)));
}

TEST(GatewayCount, StaysWhileTheGatewaysOfARestartedReplicaConnectAgain)
{
  m_count.StartTerm(At(0));
  for (int now = 0; now <= 3000; now += 50) {
    const bool connects = now % 1000 > 500 && now % 1000 < 750;
    Report(now, 2, 2, connects ? 0 : 3);
    CHECK_EQUAL(now < 300 ? 0 : 7, m_count.Get(At(now)));
  }
}

TEST(GatewayCount, DoesNotFallAtALeaderThatHasLostItsQuorum)
{
  m_count.StartTerm(At(0));
  Report(0, 2, 2, 3);
  Report(300, 2, 2, 3);
  for (int now = 400; now < 1800; now += 100) {
    m_count.RecordReport(At(now), 1, 1, /*aHasQuorum=*/false);
    CHECK_EQUAL(7, m_count.Get(At(now)));
  }
  CHECK_EQUAL(0, m_count.Get(At(1800)));
}

// Load pattern: four engines fail, and each of ninety gateways reports them.
TEST(FailureReportFilter, OneReportOfEachDeadEndpointPasses)
{
  FailureReportFilter filter;
  state::ConfigImageT image;
  state::SuspectEndpointT report;
  report.endpoint = std::make_unique<state::EndpointRefT>();
  const TimePoint start(std::chrono::seconds(100));
  int passed = 0;
  for (int gateway = 0; gateway < 90; ++gateway) {
    for (int engine = 0; engine < 4; ++engine) {
      report.endpoint->id = "e" + std::to_string(engine);
      report.endpoint->incarnation = 1;
      const TimePoint now = start + std::chrono::milliseconds(gateway);
      passed += filter.AcceptReport(now, image, report) ? 1 : 0;
    }
  }
  CHECK_EQUAL(4, passed);
}

// Load pattern: the links of an availability zone lose three packets in a
// hundred for five seconds, and each of thirty gateways occasionally misses an
// answer of some engine.
TEST(FailureReportFilter, AMissingAnswerCountsOnceAnotherGatewayMissesItToo)
{
  FailureReportFilter filter;
  state::ConfigImageT image;
  state::SuspectEndpointT report;
  report.endpoint = std::make_unique<state::EndpointRefT>();
  report.endpoint->id = "e1";
  const TimePoint start(std::chrono::seconds(100));
  const auto isAccepted = [&](const std::string& aGateway, int aAtMs) {
    report.unsure_gateway = aGateway;
    return filter.AcceptReport(
      start + std::chrono::milliseconds(aAtMs), image, report);
  };
  CHECK_FALSE(isAccepted("vm-1", 0));
  CHECK_FALSE(isAccepted("vm-1", 100));
  CHECK_FALSE(isAccepted("vm-2", 400)); // the first report is no longer counted
  CHECK(isAccepted("vm-3", 430));
  CHECK_FALSE(isAccepted("vm-4", 440)); // already proposed
}

TEST(FailureReportFilter, AnotherStartIsAnotherReport)
{
  FailureReportFilter filter;
  state::ConfigImageT image;
  state::SuspectEndpointT report;
  report.endpoint = std::make_unique<state::EndpointRefT>();
  report.endpoint->id = "e1";
  report.endpoint->incarnation = 1;
  const TimePoint start(std::chrono::seconds(100));
  CHECK(filter.AcceptReport(start, image, report));
  report.endpoint->incarnation = 2;
  CHECK(filter.AcceptReport(start, image, report));
}

TEST(FailureReportFilter, AReportThatWasLostIsTakenAgain)
{
  FailureReportFilter filter;
  state::ConfigImageT image;
  state::SuspectEndpointT report;
  report.endpoint = std::make_unique<state::EndpointRefT>();
  report.endpoint->id = "e1";
  const TimePoint start(std::chrono::seconds(100));
  CHECK(filter.AcceptReport(start, image, report));
  CHECK_FALSE(
    filter.AcceptReport(start + std::chrono::milliseconds(500), image, report));
  CHECK(filter.AcceptReport(start + std::chrono::seconds(1), image, report));
  auto listed = std::make_unique<state::EndpointT>();
  listed->id = "e1";
  listed->suspected = true;
  image.endpoints.push_back(std::move(listed));
  CHECK_FALSE(
    filter.AcceptReport(start + std::chrono::seconds(5), image, report));
}
