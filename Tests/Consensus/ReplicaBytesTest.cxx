// Guards against a leader whose log grows without limit while its entries are
// not committed, and against counts of the log's bytes that drift.
#include "TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;

namespace {

constexpr std::size_t kLargeBytes = 900'000;
constexpr std::size_t kSmallBytes = 1'000;
// Ends a test of a log without a limit.
constexpr std::size_t kMostFilledBytes = 100'000'000;

// The only voter of its group, so that a sync alone commits its entries.
struct LoneLeader
{
  explicit LoneLeader(TestCluster& aCluster)
    : m_replica(aCluster.Options(1),
                aCluster.At(1).m_disk.Restore(),
                aCluster.Now())
    , m_now(aCluster.Now() + std::chrono::seconds(2))
  {
    m_replica.Tick(m_now);
    Flush();
  }

  // Stores and commits everything.
  void Flush()
  {
    while (m_replica.HasReady()) {
      m_replica.TakeReady();
      m_replica.Persisted(m_now);
    }
  }

  bool Propose(std::size_t aBytes)
  {
    return m_replica.Propose(m_now, std::vector<std::uint8_t>(aBytes))
      .has_value();
  }

  // Returns how many commands of this size were taken before one was refused.
  std::size_t Fill(std::size_t aBytes)
  {
    std::size_t taken = 0;
    while (taken * aBytes < kMostFilledBytes && Propose(aBytes)) {
      ++taken;
    }
    return taken;
  }

  Replica m_replica;
  TimePoint m_now;
};

constexpr std::uint64_t kLearner = 9;

// Steps the leader with an answer of the learner.
void
Answer(LoneLeader& aLeader, bool aSuccess, std::uint64_t aIndex)
{
  consensus::AppendReplyT reply;
  reply.term = aLeader.m_replica.Term();
  reply.success = aSuccess;
  reply.match_index = aSuccess ? aIndex : 0;
  reply.hint_index = aSuccess ? 0 : aIndex;
  consensus::PeerMessageT message;
  message.cluster = 77;
  message.from = kLearner;
  message.to = 1;
  message.body.Set(reply);
  aLeader.m_replica.Step(aLeader.m_now, message);
}

// Returns the number of entries that the replica sends to the learner.
std::size_t
CountSentEntries(LoneLeader& aLeader)
{
  std::size_t entries = 0;
  const Ready ready = aLeader.m_replica.TakeReady();
  aLeader.m_replica.Persisted(aLeader.m_now);
  for (const auto& message : ready.m_earlyMessages) {
    const auto* append = message.body.AsAppend();
    entries += append ? append->entries.size() : 0;
  }
  return entries;
}

} // namespace

TEST_GROUP(ReplicaBytes){};

// PeerQueueLimit takes the entries out of an append to a slow member.
TEST(ReplicaBytes, AMemberThatGotAnAppendWithoutItsEntriesGetsThemLater)
{
  TestCluster cluster(1, 1);
  LoneLeader leader(cluster);
  auto joined = leader.m_replica.Members();
  joined.members.push_back(std::make_unique<consensus::MemberT>());
  joined.members.back()->replica = kLearner;
  joined.members.back()->zone = cluster.At(1).m_zone;
  CHECK_TEXT(
    leader.m_replica.ProposeMembership(leader.m_now, joined).has_value(),
    leader.m_replica.LastReason().m_text.c_str());
  leader.Flush();
  const std::uint64_t held = leader.m_replica.LastIndex();
  Answer(leader, true, held);
  leader.Flush();
  CHECK(leader.Propose(kSmallBytes));
  CHECK_EQUAL(1, CountSentEntries(leader));
  Answer(leader, true, held);
  CHECK_EQUAL(0, CountSentEntries(leader));
  // The next heartbeat names the entry that the member lacks.
  Answer(leader, false, held);
  CHECK_EQUAL(1, CountSentEntries(leader));
  Answer(leader, true, leader.m_replica.LastIndex());
  CHECK_EQUAL(leader.m_replica.LastIndex(),
              leader.m_replica.MatchIndex(kLearner));
}

TEST(ReplicaBytes, ALeaderTakesNoMoreThanItsLimitOfUncommittedBytes)
{
  TestCluster cluster(1, 1);
  LoneLeader leader(cluster);
  const std::size_t limit = ReplicaOptions().m_maxUncommittedBytes;
  const std::uint64_t first = leader.m_replica.LastIndex();
  CHECK_EQUAL(limit / 2 / kLargeBytes, leader.Fill(kLargeBytes));
  CHECK(leader.m_replica.LastReason().m_code == ReplicaError::Full);
  // Large commands leave room for small ones, up to the whole limit.
  const std::size_t small = leader.Fill(kSmallBytes);
  CHECK_COMPARE(small, >, 0);
  CHECK_COMPARE(leader.m_replica.CountUncommittedBytes(), <=, limit + 1000);
  CHECK_COMPARE(leader.m_replica.CountUncommittedBytes(), >, limit - 2000);
  const std::uint64_t last = leader.m_replica.LastIndex();
  CHECK_FALSE(leader.Propose(kSmallBytes));
  CHECK_EQUAL(last, leader.m_replica.LastIndex());
  leader.Flush();
  CHECK_EQUAL(last, leader.m_replica.CommitIndex());
  CHECK_COMPARE(last, >, first);
  CHECK_EQUAL(0, leader.m_replica.CountUncommittedBytes());
  CHECK(leader.Propose(kLargeBytes));
}

TEST(ReplicaBytes, OneCommandIsTakenWhateverItsSize)
{
  TestCluster cluster(1, 1);
  LoneLeader leader(cluster);
  // Also behind small commands, which are under way all the time.
  CHECK(leader.Propose(kSmallBytes));
  CHECK(leader.Propose(2 * ReplicaOptions().m_maxUncommittedBytes));
  CHECK_FALSE(leader.Propose(kSmallBytes));
  leader.Flush();
  CHECK(leader.Propose(kSmallBytes));
}

TEST(ReplicaBytes, AFullLogStillTakesAChangeOfTheMembers)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  Replica& leader = *cluster.At(cluster.Leader()).m_replica;
  std::size_t bytes = 0;
  while (
    bytes < kMostFilledBytes &&
    leader.Propose(cluster.Now(), std::vector<std::uint8_t>(kLargeBytes))) {
    bytes += kLargeBytes;
  }
  CHECK(leader.LastReason().m_code == ReplicaError::Full);
  CHECK(leader.ProposeMembership(cluster.Now(), cluster.With(9, "a", false))
          .has_value());
}

TEST(ReplicaBytes, TheBytesOfTheLogFollowItsCompaction)
{
  TestCluster cluster(1, 1);
  LoneLeader leader(cluster);
  const std::size_t before = leader.m_replica.CountLogBytes();
  for (int i = 0; i < 20; ++i) {
    CHECK(leader.Propose(kLargeBytes));
    leader.Flush();
  }
  CHECK_COMPARE(leader.m_replica.CountLogBytes(), >, 20 * kLargeBytes);
  auto meta = leader.m_replica.DescribeSnapshot(leader.m_replica.CommitIndex());
  leader.m_replica.Compact(*meta);
  CHECK_COMPARE(leader.m_replica.CountLogBytes(), <, before + kLargeBytes);
}
