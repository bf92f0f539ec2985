// Guards against single violations of Raft's safety rules: commits of entries
// of older terms, reads without confirmation, votes that must be denied,
// membership changes at the wrong time, data that counts before its sync; and
// against logs and messages that are bounded in number but not in bytes. Each
// test brings about one such case.
#include "TestCluster.h"

#include "Consensus/MembershipRules.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using namespace parsleycove::test;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

template<typename Body>
consensus::PeerMessageT
MakeMessage(std::uint64_t aFrom, std::uint64_t aTo, Body aBody)
{
  consensus::PeerMessageT message;
  message.cluster = 77;
  message.from = aFrom;
  message.to = aTo;
  message.body.Set(std::move(aBody));
  return message;
}

consensus::VoteT
MakeVote(std::uint64_t aTerm)
{
  consensus::VoteT vote;
  vote.term = aTerm;
  vote.last_index = 1000;
  vote.last_term = aTerm;
  return vote;
}

// Returns whether the replica grants its vote to the sender of aMessage.
bool
Grants(Replica& aReplica,
       TimePoint aNow,
       const consensus::PeerMessageT& aMessage)
{
  aReplica.Step(aNow, aMessage);
  bool granted = false;
  const Ready ready = aReplica.TakeReady();
  aReplica.Persisted(aNow);
  for (const auto& message : ready.m_messages) {
    const auto* reply = message.body.AsVoteReply();
    granted = granted || (reply && reply->granted);
  }
  return granted;
}

void
CheckRecovers(TestCluster& aCluster)
{
  CHECK(aCluster.Heal());
  STRCMP_EQUAL("", aCluster.FirstViolation().c_str());
}

std::uint64_t
OtherThan(TestCluster& aCluster, std::uint64_t aId)
{
  for (const auto& member : aCluster.Members().members) {
    if (member->replica != aId) {
      return member->replica;
    }
  }
  return 0;
}

// Takes all work from the replica and tells the replica that it is synced.
void
Flush(Replica& aReplica, TimePoint aNow)
{
  while (aReplica.HasReady()) {
    aReplica.TakeReady();
    aReplica.Persisted(aNow);
  }
}

// Makes the replica leader with the vote of replica 2. Returns the time of the
// election.
TimePoint
Elect(Replica& aReplica, TimePoint aStart)
{
  const TimePoint now = aStart + seconds(2);
  aReplica.Tick(now);
  consensus::PreVoteReplyT preVote;
  preVote.term = aReplica.Term() + 1;
  preVote.granted = true;
  aReplica.Step(now, MakeMessage(2, 1, preVote));
  Flush(aReplica, now);
  consensus::VoteReplyT vote;
  vote.term = aReplica.Term();
  vote.granted = true;
  aReplica.Step(now, MakeMessage(2, 1, vote));
  Flush(aReplica, now);
  CHECK(aReplica.Role() == ReplicaRole::Leader);
  return now;
}

// Returns the answer of replica 2 to an append or a heartbeat.
consensus::PeerMessageT
MakeAppendReply(const Replica& aLeader,
                std::uint64_t aMatch,
                std::uint64_t aProbe)
{
  consensus::AppendReplyT reply;
  reply.term = aLeader.Term();
  reply.success = true;
  reply.match_index = aMatch;
  reply.probe = aProbe;
  return MakeMessage(2, 1, reply);
}

// Returns a log with a committed membership and an uncommitted entry of term 2.
RestoredLog
MakeLog(TestCluster& aCluster)
{
  RestoredLog log = aCluster.At(1).m_disk.Restore();
  log.m_hardState.term = 2;
  log.m_snapshot.emplace();
  log.m_snapshot->index = 1;
  log.m_snapshot->term = 1;
  log.m_snapshot->membership = std::make_unique<consensus::MembershipT>(
    aCluster.At(1).m_replica->Members());
  log.m_entries.resize(1);
  log.m_entries.front().index = 2;
  log.m_entries.front().term = 2;
  log.m_entries.front().kind = consensus::EntryKind::Command;
  log.m_entries.front().data.clear();
  return log;
}

// Returns the probe number of the last append to replica 2 in m_earlyMessages,
// or 0 if there is none.
std::uint64_t
FindProbe(const Ready& aReady)
{
  std::uint64_t probe = 0;
  for (const auto& message : aReady.m_earlyMessages) {
    const auto* append = message.body.AsAppend();
    probe = append && message.to == 2 ? append->probe : probe;
  }
  return probe;
}

constexpr std::size_t kLargeEntryBytes = 100'000;
constexpr std::uint64_t kLargeEntries = 60;

// Returns the options of replica 1, with the product's limits of the log.
ReplicaOptions
MakeProductOptions(const TestCluster& aCluster)
{
  ReplicaOptions options = aCluster.Options(1);
  const ReplicaOptions defaults;
  options.m_compactionTailEntries = defaults.m_compactionTailEntries;
  options.m_snapshotChunkBytes = defaults.m_snapshotChunkBytes;
  return options;
}

// Returns a log with kLargeEntries large entries after the membership.
RestoredLog
MakeLargeLog(TestCluster& aCluster)
{
  RestoredLog log = aCluster.At(1).m_disk.Restore();
  for (std::uint64_t i = 0; i < kLargeEntries; ++i) {
    consensus::EntryT entry;
    entry.index = log.m_entries.back().index + 1;
    entry.term = log.m_entries.back().term;
    entry.kind = consensus::EntryKind::Command;
    entry.data.resize(kLargeEntryBytes);
    log.m_entries.push_back(std::move(entry));
  }
  return log;
}

// A leader of three voters that has committed large entries and then stored a
// snapshot of the size of one of them.
struct CompactedLeader
{
  explicit CompactedLeader(TestCluster& aCluster)
    : m_replica(MakeProductOptions(aCluster),
                MakeLargeLog(aCluster),
                aCluster.Now())
    , m_now(Elect(m_replica, aCluster.Now()))
  {
    m_replica.Step(m_now, MakeAppendReply(m_replica, m_replica.LastIndex(), 1));
    Flush(m_replica, m_now);
    auto meta = m_replica.DescribeSnapshot(m_replica.CommitIndex());
    meta->size = kLargeEntryBytes;
    m_replica.Compact(*meta);
    m_snapshot = meta->index;
  }

  Replica m_replica;
  TimePoint m_now;
  std::uint64_t m_snapshot = 0;
};

// Returns the bytes of the entries in m_earlyMessages to a replica.
std::size_t
CountAppendedBytes(const Ready& aReady, std::uint64_t aTo)
{
  std::size_t bytes = 0;
  for (const auto& message : aReady.m_earlyMessages) {
    const auto* append = message.body.AsAppend();
    for (std::size_t i = 0;
         append && message.to == aTo && i < append->entries.size();
         ++i) {
      bytes += append->entries[i]->data.size();
    }
  }
  return bytes;
}

consensus::ReadIndexT
MakeRead(std::uint64_t aId)
{
  consensus::ReadIndexT read;
  read.id = aId;
  return read;
}

} // namespace

TEST_GROUP(ReplicaSafety){};

TEST(ReplicaSafety, EntryOfAnOlderTermCommitsOnlyWithOneOfTheOwn)
{
  TestCluster cluster(3, 1);
  Replica leader(cluster.Options(1), MakeLog(cluster), cluster.Now());
  const TimePoint now = Elect(leader, cluster.Now());
  CHECK_EQUAL(3, leader.LastIndex());
  leader.Step(now, MakeAppendReply(leader, 2, 1));
  CHECK_EQUAL(1, leader.CommitIndex());
  // A quorum answers, but until an entry of the leader's term is committed, the
  // leader must neither answer reads nor change the membership.
  CHECK(leader.HasLeaderLease(now));
  leader.ReadIndex(now, MakeRead(1));
  CHECK_EQUAL(0, leader.TakeReady().m_reads.size());
  auto members = leader.Members();
  members.members.pop_back();
  CHECK_FALSE(leader.ProposeMembership(now, members).has_value());
  STRCMP_CONTAINS("no entry of this term", leader.LastReason().m_text.c_str());
  leader.Step(now, MakeAppendReply(leader, 3, 1));
  CHECK_EQUAL(3, leader.CommitIndex());
  CHECK_EQUAL(1, leader.TakeReady().m_reads.size());
}

TEST(ReplicaSafety, ReadWithoutALeaseWaitsForAQuorumAskedAfterIt)
{
  TestCluster cluster(3, 1);
  Replica leader(cluster.Options(1), MakeLog(cluster), cluster.Now());
  const TimePoint start = Elect(leader, cluster.Now());
  leader.Step(start, MakeAppendReply(leader, 3, 1));
  leader.Tick(start + milliseconds(100));
  const std::uint64_t before = FindProbe(leader.TakeReady());
  const TimePoint late = start + milliseconds(600);
  CHECK_FALSE(leader.HasLeaderLease(late));
  leader.ReadIndex(late, MakeRead(1));
  const Ready ready = leader.TakeReady();
  CHECK_EQUAL(0, ready.m_reads.size());
  const std::uint64_t after = FindProbe(ready);
  CHECK(before != 0 && after > before);
  // This probe was sent before the read arrived, and too early for a lease now.
  leader.Step(late, MakeAppendReply(leader, 3, before));
  CHECK_EQUAL(0, leader.TakeReady().m_reads.size());
  leader.Step(late, MakeAppendReply(leader, 3, after));
  const Ready answered = leader.TakeReady();
  CHECK_EQUAL(1, answered.m_reads.size());
  CHECK(answered.m_reads.front().m_ok);
}

TEST(ReplicaSafety, ReadsFailAtOnceWhenTheLeaderStepsDown)
{
  TestCluster cluster(3, 1);
  Replica leader(cluster.Options(1), MakeLog(cluster), cluster.Now());
  const TimePoint now = Elect(leader, cluster.Now());
  leader.ReadIndex(now, MakeRead(1));
  auto reply = MakeAppendReply(leader, 0, 1);
  reply.body.AsAppendReply()->term = leader.Term() + 1;
  leader.Step(now, reply);
  CHECK(leader.Role() == ReplicaRole::Follower);
  const Ready ready = leader.TakeReady();
  CHECK_EQUAL(1, ready.m_reads.size());
  CHECK_FALSE(ready.m_reads.front().m_ok);
}

TEST(ReplicaSafety, VoteGoesOnlyToALogThatIsUpToDate)
{
  TestCluster cluster(3, 1);
  Replica voter(cluster.Options(1), MakeLog(cluster), cluster.Now());
  const TimePoint now = cluster.Now() + seconds(5);
  consensus::VoteT vote;
  vote.term = 9;
  vote.last_term = 2;
  vote.last_index = 1;
  CHECK_FALSE(Grants(voter, now, MakeMessage(2, 1, vote)));
  vote.last_term = 1;
  vote.last_index = 5;
  CHECK_FALSE(Grants(voter, now, MakeMessage(2, 1, vote)));
  vote.last_term = 2;
  vote.last_index = 2;
  CHECK(Grants(voter, now, MakeMessage(2, 1, vote)));
}

TEST(ReplicaSafety, OwnVoteCountsOnceItIsStored)
{
  TestCluster cluster(1, 1);
  const TimePoint start = cluster.Now();
  Replica alone(
    cluster.Options(1), cluster.At(1).m_disk.Restore(), cluster.Now());
  alone.Tick(start + seconds(2));
  CHECK(alone.Role() == ReplicaRole::Candidate);
  CHECK(alone.TakeReady().m_hardState.has_value());
  CHECK(alone.Role() == ReplicaRole::Candidate);
  alone.Persisted(start + seconds(2));
  CHECK(alone.Role() == ReplicaRole::Leader);
}

TEST(ReplicaSafety, PromisesNothingWhileASnapshotIsInstalled)
{
  TestCluster cluster(3, 1);
  const TimePoint now = cluster.Now();
  Replica follower(cluster.Options(1), MakeLog(cluster), now);
  consensus::InstallSnapshotT chunk;
  chunk.term = 3;
  chunk.meta = std::make_unique<consensus::SnapshotMetaT>();
  chunk.meta->index = 50;
  chunk.meta->term = 3;
  chunk.last = true;
  follower.Step(now, MakeMessage(2, 1, chunk));
  CHECK_EQUAL(1, follower.TakeReady().m_chunks.size());
  follower.Persisted(now);
  consensus::AppendT append;
  append.term = 3;
  append.previous_index = 2;
  append.previous_term = 2;
  append.entries.push_back(std::make_unique<consensus::EntryT>());
  append.entries.back()->index = 3;
  append.entries.back()->term = 3;
  follower.Step(now, MakeMessage(2, 1, append));
  const Ready ready = follower.TakeReady();
  CHECK_EQUAL(0, ready.m_entries.size());
  CHECK_EQUAL(0, ready.m_messages.back().body.AsAppendReply()->match_index);
  follower.SnapshotInstalled(now, *chunk.meta);
  CHECK_EQUAL(50, follower.LastIndex());
}

TEST(ReplicaSafety, SecondLossRightAfterARepairLosesNothing)
{
  for (std::uint64_t first = 1; first <= 3; ++first) {
    for (std::uint64_t second = 1; second <= 3; ++second) {
      TestCluster cluster(3, first * 10 + second);
      CHECK(cluster.Commit(1) && cluster.Commit(2));
      cluster.Wipe(first);
      CHECK(cluster.Replace(first));
      if (second != first) {
        cluster.Wipe(second);
      }
      CHECK(cluster.Commit(3));
      CheckRecovers(cluster);
    }
  }
}

TEST(ReplicaSafety, NoMembershipChangeBeforeACommitOfTheOwnTerm)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t old = cluster.Leader();
  cluster.Crash(old);
  cluster.At(old).m_downUntil = cluster.Now() + hours(1);
  std::uint64_t next = 0;
  while (next == 0) {
    cluster.Run(milliseconds(1));
    for (auto& [id, node] : cluster.Nodes()) {
      const bool leads =
        node.m_replica && node.m_replica->Role() == ReplicaRole::Leader;
      next = leads ? id : next;
    }
  }
  Replica& leader = *cluster.At(next).m_replica;
  const auto change = cluster.With(9, "a", false);
  CHECK_FALSE(leader.ProposeMembership(cluster.Now(), change).has_value());
  CHECK(leader.LastReason().m_code == ReplicaError::NotNow);
  cluster.Run(milliseconds(50));
  CHECK(leader.ProposeMembership(cluster.Now(), change).has_value());
  const auto second = cluster.With(10, "b", false);
  CHECK_FALSE(leader.ProposeMembership(cluster.Now(), second).has_value());
  CHECK(leader.LastReason().m_code == ReplicaError::NotNow);
}

TEST(ReplicaSafety, RemovedReplicaDoesNotDisturb)
{
  TestCluster cluster(5, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t leader = cluster.Leader();
  const std::uint64_t removed = OtherThan(cluster, leader);
  const std::uint64_t term = cluster.At(leader).m_replica->Term();
  CHECK(cluster.ChangeMembership(cluster.Without(removed)));
  cluster.Run(seconds(20));
  CHECK_EQUAL(leader, cluster.Leader());
  CHECK_EQUAL(term, cluster.At(leader).m_replica->Term());
  // A replica of an older version requests a vote without a pre-vote.
  const auto vote = MakeMessage(removed, leader, MakeVote(term + 5));
  cluster.At(leader).m_replica->Step(cluster.Now(), vote);
  cluster.Run(seconds(2));
  CHECK_EQUAL(term, cluster.At(leader).m_replica->Term());
}

TEST(ReplicaSafety, ReplicaIsolatedForAnHourDoesNotDisturb)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t leader = cluster.Leader();
  const std::uint64_t term = cluster.At(leader).m_replica->Term();
  Node& other = cluster.At(OtherThan(cluster, leader));
  other.m_inboundCutUntil = cluster.Now() + hours(1);
  other.m_outboundCutUntil = other.m_inboundCutUntil;
  cluster.Run(hours(1) + seconds(5));
  CHECK_EQUAL(leader, cluster.Leader());
  CHECK_EQUAL(term, cluster.At(leader).m_replica->Term());
  CheckRecovers(cluster);
}

TEST(ReplicaSafety, WipedDiskNeverVotesUnderItsOldIdentity)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const TimePoint start = cluster.Now();
  const TimePoint later = start + seconds(5);
  Replica fresh(cluster.Options(44), {}, start);
  CHECK_FALSE(Grants(fresh, later, MakeMessage(1, 2, MakeVote(9))));
  auto foreign = MakeMessage(1, 44, MakeVote(9));
  foreign.cluster = 78;
  CHECK_FALSE(Grants(fresh, later, foreign));
  CHECK_EQUAL(0, fresh.Term());
  // The settings name the old identity again, but the data folder is empty.
  Replica again(cluster.Options(2), {}, start);
  CHECK_FALSE(Grants(again, later, MakeMessage(1, 2, MakeVote(9))));
}

TEST(ReplicaSafety, NoVoteWithinAnElectionTimeoutOfTheStart)
{
  TestCluster cluster(3, 1);
  const ReplicaOptions options = cluster.Options(2);
  const TimePoint start = cluster.Now();
  Replica restarted(options, cluster.At(2).m_disk.Restore(), start);
  const auto vote = MakeMessage(1, 2, MakeVote(9));
  const TimePoint soon = start + options.m_electionTimeout - milliseconds(1);
  CHECK_FALSE(Grants(restarted, soon, vote));
  CHECK(Grants(restarted, soon + milliseconds(1), vote));
  CHECK_FALSE(
    Grants(restarted, soon + seconds(1), MakeMessage(3, 2, MakeVote(9))));
}

TEST(ReplicaSafety, NoZoneGetsAMajorityByTheRemovalOfARunningVoter)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t id = cluster.Join("a");
  CHECK(cluster.ChangeMembership(cluster.With(id, "a", true)));
  Replica& leader = *cluster.At(cluster.Leader()).m_replica;
  CHECK_FALSE(
    leader.ProposeMembership(cluster.Now(), cluster.Without(2)).has_value());
  STRCMP_CONTAINS("availability zone \"a\" has 2 of 3 voters",
                  leader.LastReason().m_text.c_str());
  Replica fresh(cluster.Options(44), {}, cluster.Now());
  auto members = cluster.Without(2);
  CHECK_FALSE(fresh.Bootstrap(members));
}

// Guards against a group that is left with a lost voter and a larger majority,
// since the removal gives a zone the majority.
TEST(ReplicaSafety, ALostVoterIsRemovedWhateverTheZones)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t id = cluster.Join("a");
  CHECK(cluster.ChangeMembership(cluster.With(id, "a", true)));
  const std::uint64_t lost = cluster.Leader() == 2 ? 3 : 2;
  cluster.Wipe(lost);
  cluster.Run(seconds(2));
  CHECK(cluster.ChangeMembership(cluster.Without(lost)));
  cluster.Wipe(cluster.Leader() == id ? 1 : id);
  CHECK(cluster.Commit(2));
  STRCMP_EQUAL("", cluster.FirstViolation().c_str());
}

TEST(ReplicaSafety, LearnerIsPromotedOnlyOnceItHasStoredAll)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t id = cluster.Join("a");
  cluster.At(id).m_frozenUntil = cluster.Now() + seconds(1);
  CHECK(cluster.Commit(2));
  Replica& leader = *cluster.At(cluster.Leader()).m_replica;
  const auto promoted = cluster.With(id, "a", true);
  CHECK_FALSE(leader.ProposeMembership(cluster.Now(), promoted).has_value());
  CHECK(leader.LastReason().m_code == ReplicaError::NotNow);
  const auto direct = cluster.With(99, "b", true);
  CHECK_FALSE(leader.ProposeMembership(cluster.Now(), direct).has_value());
  CHECK(leader.LastReason().m_code == ReplicaError::Invalid);
  cluster.Run(seconds(2));
  CHECK(leader.ProposeMembership(cluster.Now(), promoted).has_value());
}

TEST(ReplicaSafety, LeaderThatWakesFromAFreezeServesNothing)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  Replica& leader = *cluster.At(cluster.Leader()).m_replica;
  const TimePoint woken = cluster.Now() + seconds(10);
  CHECK_FALSE(leader.HasLeaderLease(woken));
  leader.ReadIndex(woken, MakeRead(1));
  const Ready ready = leader.TakeReady();
  CHECK_EQUAL(1, ready.m_reads.size());
  CHECK_FALSE(ready.m_reads.front().m_ok);
  CHECK_FALSE(leader.Propose(woken, { 1 }).has_value());
  CHECK(leader.Role() == ReplicaRole::Follower);
}

TEST(ReplicaSafety, EveryReadIsAnsweredWhenTheLeaderIsLost)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  const std::uint64_t lost = cluster.Leader();
  Replica& other = *cluster.At(OtherThan(cluster, lost)).m_replica;
  cluster.Crash(lost);
  const TimePoint asked = cluster.Now();
  other.ReadIndex(asked, MakeRead(1));
  CHECK_EQUAL(0, other.TakeReady().m_reads.size());
  other.Tick(asked + cluster.Options(1).m_readTimeout);
  const Ready ready = other.TakeReady();
  CHECK_EQUAL(1, ready.m_reads.size());
  CHECK_FALSE(ready.m_reads.front().m_ok);
  CHECK(ready.m_reads.front().m_requestedAt == asked);
}

TEST(ReplicaSafety, NothingIsCountedBeforeItsSync)
{
  TestCluster cluster(3, 1);
  CHECK(cluster.Commit(1));
  Replica& leader = *cluster.At(cluster.Leader()).m_replica;
  const std::uint64_t commit = leader.CommitIndex();
  CHECK(leader.Propose(cluster.Now(), { 2 }).has_value());
  const Ready ready = leader.TakeReady();
  CHECK(ready.NeedsSync());
  const std::uint64_t last = leader.LastIndex();
  // One follower has stored the entry. The leader's copy is not synced yet, so
  // that there is no quorum.
  auto reply = MakeAppendReply(leader, last, 0);
  reply.from = OtherThan(cluster, cluster.Leader());
  reply.to = cluster.Leader();
  leader.Step(cluster.Now(), reply);
  CHECK_EQUAL(commit, leader.CommitIndex());
  leader.Persisted(cluster.Now());
  CHECK_EQUAL(last, leader.CommitIndex());
}

TEST(ReplicaSafety, LearnerTakesTheSnapshotAndNotALongerHistory)
{
  constexpr std::uint64_t kLearner = 9;
  TestCluster cluster(3, 1);
  CompactedLeader leader(cluster);
  Replica& replica = leader.m_replica;
  auto joined = replica.Members();
  joined.members.push_back(std::make_unique<consensus::MemberT>());
  joined.members.back()->replica = kLearner;
  joined.members.back()->zone = cluster.At(1).m_zone;
  CHECK(replica.ProposeMembership(leader.m_now, joined).has_value());
  Flush(replica, leader.m_now);
  consensus::AppendReplyT empty;
  empty.term = replica.Term();
  replica.Step(leader.m_now, MakeMessage(kLearner, 1, empty));
  Ready ready = replica.TakeReady();
  CHECK_EQUAL(0, CountAppendedBytes(ready, kLearner));
  CHECK_EQUAL(1, ready.m_chunkRequests.size());
  CHECK_EQUAL(leader.m_snapshot, ready.m_chunkRequests.front().m_index);
  consensus::InstallSnapshotReplyT installed;
  installed.term = replica.Term();
  installed.index = leader.m_snapshot;
  installed.done = true;
  replica.Step(leader.m_now, MakeMessage(kLearner, 1, installed));
  ready = replica.TakeReady();
  CHECK(CountAppendedBytes(ready, kLearner) < kLargeEntryBytes);
  CHECK_EQUAL(0, ready.m_chunkRequests.size());
}

TEST(ReplicaSafety, MemberThatLacksOneEntryTakesNoSnapshot)
{
  TestCluster cluster(3, 1);
  CompactedLeader leader(cluster);
  consensus::AppendReplyT behind;
  behind.term = leader.m_replica.Term();
  behind.hint_index = leader.m_snapshot - 2;
  leader.m_replica.Step(leader.m_now, MakeMessage(3, 1, behind));
  const Ready ready = leader.m_replica.TakeReady();
  CHECK_EQUAL(kLargeEntryBytes, CountAppendedBytes(ready, 3));
  CHECK_EQUAL(0, ready.m_chunkRequests.size());
}

TEST(ReplicaSafety, EntriesBeforeASnapshotAreLimitedInBytes)
{
  TestCluster cluster(3, 1);
  const CompactedLeader leader(cluster);
  std::size_t bytes = 0;
  for (std::uint64_t index = 2; index < leader.m_snapshot; ++index) {
    const bool held = leader.m_replica.DescribeSnapshot(index - 1).has_value();
    bytes += held ? kLargeEntryBytes : 0;
  }
  CHECK_COMPARE(bytes, <=, MakeProductOptions(cluster).m_maxAppendBytes);
}

TEST(ReplicaSafety, UnansweredAppendsAreLimitedInBytes)
{
  constexpr std::size_t kEntryBytes = 1'000'000;
  TestCluster cluster(3, 1);
  CompactedLeader leader(cluster);
  const ReplicaOptions options = MakeProductOptions(cluster);
  std::size_t bytes = 0;
  for (int i = 0; i < 40; ++i) {
    leader.m_replica.Propose(leader.m_now,
                             std::vector<std::uint8_t>(kEntryBytes));
    bytes += CountAppendedBytes(leader.m_replica.TakeReady(), 2);
    leader.m_replica.Persisted(leader.m_now);
  }
  const std::size_t limit =
    options.m_maxInflightAppends * options.m_maxAppendBytes;
  CHECK_COMPARE(bytes, >, limit / 2);
  CHECK_COMPARE(bytes, <=, limit + kEntryBytes);
}
