// Tests when replicas are promoted and removed, and which identity a replica
// gets.
#include "Control/MembershipRepair.h"
#include "Control/Cluster.h"
#include "Control/ReplicaIdentity.h"
#include "Store/DiskFiles.h"
#include "Store/IdentityFile.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::uint64_t kSelf = 1;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(100) + std::chrono::milliseconds(aMs));
}

consensus::MembershipT
MakeGroup(std::uint64_t aVoters, std::uint64_t aLearners = 0)
{
  consensus::MembershipT group;
  for (std::uint64_t i = 1; i <= aVoters + aLearners; ++i) {
    auto member = std::make_unique<consensus::MemberT>();
    member->replica = i;
    member->voter = i <= aVoters;
    group.members.push_back(std::move(member));
  }
  return group;
}

// Five voters and a learner, member 6, that runs at the address of member 3.
consensus::MembershipT
MakeGroupWithReplacement()
{
  auto group = MakeGroup(5, 1);
  for (const std::size_t index : { 2, 5 }) {
    group.members[index]->address = "10.0.0.3";
    group.members[index]->port = 7000;
  }
  return group;
}

} // namespace

// clang-format off
TEST_GROUP(MembershipRepair)
{
  MembershipRepair m_repair{ { 5, std::chrono::seconds(3) } };

  // Returns 0 if no member may be removed.
  std::uint64_t FirstToRemove(TimePoint aNow,
                              const consensus::MembershipT& aMembers,
                              std::uint64_t aSelf)
  {
    const auto replicas =
      m_repair.ListMembersToRemove(aNow, aMembers, aSelf);
    return replicas.empty() ? 0 : replicas.front();
  }
  // Records a message at aMs from every member except aSilent and the leader.
  void RecordMessages(int aMs, std::uint64_t aMembers, std::uint64_t aSilent)
  {
    for (std::uint64_t i = 2; i <= aMembers; ++i) {
      if (i != aSilent) {
        m_repair.RecordMessage(At(aMs), i);
      }
    }
  }
};
// clang-format on

TEST(MembershipRepair, WantsVotersUpToTheTarget)
{
  m_repair.Start(At(0));
  CHECK(m_repair.NeedsVoter(At(0), MakeGroup(3, 1), kSelf));
  CHECK_FALSE(m_repair.NeedsVoter(At(0), MakeGroup(5, 1), kSelf));
}

TEST(MembershipRepair, WantsOneMoreForAVoterThatIsSilent)
{
  m_repair.Start(At(0));
  RecordMessages(4000, 6, 3);
  CHECK(m_repair.NeedsVoter(At(4000), MakeGroup(5, 1), kSelf));
  CHECK_FALSE(m_repair.NeedsVoter(At(4000), MakeGroup(6), kSelf));
}

TEST(MembershipRepair, RemovesASilentVoterOnlyOnceItsReplacementVotes)
{
  m_repair.Start(At(0));
  RecordMessages(4000, 6, 3);
  CHECK_EQUAL(0U, FirstToRemove(At(4000), MakeGroup(5, 1), kSelf));
  CHECK_EQUAL(3U, FirstToRemove(At(4000), MakeGroup(6), kSelf));
}

TEST(MembershipRepair, ANewLeaderDoesNotCountSilenceBeforeItsTerm)
{
  m_repair.Start(At(0));
  RecordMessages(100, 6, 0);
  m_repair.Start(At(9000));
  CHECK_EQUAL(0U, FirstToRemove(At(9100), MakeGroup(6), kSelf));
}

TEST(MembershipRepair, RemovesALearnerThatNeverCame)
{
  m_repair.Start(At(0));
  RecordMessages(8000, 5, 0);
  CHECK_EQUAL(0U, FirstToRemove(At(8000), MakeGroup(5, 1), kSelf));
  RecordMessages(9500, 5, 0);
  CHECK_EQUAL(6U, FirstToRemove(At(9500), MakeGroup(5, 1), kSelf));
}

TEST(MembershipRepair, EachSilentMemberIsNamedInCaseOneMustStay)
{
  m_repair.Start(At(0));
  RecordMessages(4000, 6, 3);
  const auto replicas =
    m_repair.ListMembersToRemove(At(9500), MakeGroup(6, 1), kSelf);
  CHECK_EQUAL(6U, replicas.size());
  CHECK_EQUAL(2U, replicas.front());
  CHECK_EQUAL(7U, replicas.back());
}

TEST(MembershipRepair, ALearnerThatHasGoneSilentIsNotPromoted)
{
  m_repair.Start(At(0));
  m_repair.RecordMessage(At(4000), 6);
  CHECK(m_repair.IsResponsive(At(4999), 6));
  CHECK_FALSE(m_repair.IsResponsive(At(5000), 6));
}

TEST(MembershipRepair, AVoterIsLostOnceAnotherMemberRunsAtItsAddress)
{
  auto group = MakeGroupWithReplacement();
  m_repair.Start(At(0));
  RecordMessages(100, 5, 0);
  CHECK_FALSE(m_repair.NeedsVoter(At(200), group, kSelf));
  m_repair.RecordMessage(At(200), 6);
  CHECK(m_repair.NeedsVoter(At(200), group, kSelf));
  CHECK_EQUAL(0U, FirstToRemove(At(200), group, kSelf));
  group.members[5]->voter = true;
  CHECK_EQUAL(3U, FirstToRemove(At(200), group, kSelf));
  STRCMP_EQUAL("silent for 100 ms, and another member runs at its address",
               m_repair.DescribeLoss(At(200), group, 3, kSelf).c_str());
  // The one that was heard last is the one that runs.
  m_repair.RecordMessage(At(300), 3);
  CHECK_EQUAL(6U, FirstToRemove(At(300), group, kSelf));
}

TEST(MembershipRepair, ANewMemberIsNotSilentBeforeItsAddition)
{
  auto group = MakeGroupWithReplacement();
  m_repair.Start(At(0));
  m_repair.UpdateMembers(At(0), MakeGroup(5));
  RecordMessages(19000, 5, 0);
  m_repair.UpdateMembers(At(20000), group);
  CHECK_EQUAL(0U, FirstToRemove(At(20001), group, kSelf));
  RecordMessages(28999, 5, 3);
  CHECK_EQUAL(0U, FirstToRemove(At(28999), group, kSelf));
  CHECK_EQUAL(6U, FirstToRemove(At(29000), group, kSelf));
}

TEST(MembershipRepair, ASilentVoterIsNotRemovedBeforeOneWhoseDiskIsLost)
{
  auto group = MakeGroup(6);
  group.members[2]->address = "10.0.0.3";
  group.members[5]->address = "10.0.0.3";
  m_repair.Start(At(0));
  for (const std::uint64_t replica : { 4, 5, 6 }) {
    m_repair.RecordMessage(At(3000), replica);
  }
  const auto replicas = m_repair.ListMembersToRemove(At(3000), group, kSelf);
  CHECK(replicas == std::vector<std::uint64_t>({ 3, 2 }));
}

TEST(MembershipRepair, AFormerIdentityOfTheLeaderIsLost)
{
  auto group = MakeGroup(6);
  group.members[0]->address = "10.0.0.1";
  group.members[3]->address = "10.0.0.1";
  m_repair.Start(At(0));
  CHECK_EQUAL(4U, FirstToRemove(At(0), group, kSelf));
}

TEST(MembershipRepair, IsCompleteWithTheTargetOfVotersAndNobodyElse)
{
  CHECK(m_repair.IsComplete(MakeGroup(5)));
  CHECK_FALSE(m_repair.IsComplete(MakeGroup(5, 1)));
  CHECK_FALSE(m_repair.IsComplete(MakeGroup(6)));
  CHECK_FALSE(m_repair.IsComplete(MakeGroup(4)));
}

TEST(MembershipRepair, WithoutATargetOperatorsChangeMembers)
{
  MembershipRepair repair({ 0, std::chrono::seconds(3) });
  repair.Start(At(0));
  CHECK(repair.NeedsVoter(At(0), MakeGroup(5, 1), kSelf));
  CHECK_EQUAL(
    0U, repair.ListMembersToRemove(At(60000), MakeGroup(6), kSelf).size());
}

// clang-format off
TEST_GROUP(ReplicaIdentity)
{
  TemporaryFolder m_folder;
  DiskFiles m_files;
  ReplicaStart m_start;

  void setup() override
  {
    m_start.m_folder = m_folder.Path();
    m_start.m_own = { "10.0.0.1", 7000 };
    m_start.m_founders = { { "10.0.0.1", 7000 },
                           { "10.0.0.2", 7000 },
                           { "10.0.0.3", 7000 } };
    m_start.m_random = 99;
  }
  ReplicaIdentity Choose()
  {
    StoreReason reason;
    return *ChooseIdentity(m_files, m_start, reason);
  }
};
// clang-format on

TEST(ReplicaIdentity, FoundersBeginWithTheSameMembers)
{
  m_start.m_isFirstStart = true;
  const ReplicaIdentity one = Choose();
  m_start.m_own = { "10.0.0.2", 7000 };
  m_start.m_random = 5;
  const ReplicaIdentity other = Choose();
  CHECK_EQUAL(3U, one.m_bootstrap.size());
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_EQUAL(one.m_bootstrap[i].m_replica, other.m_bootstrap[i].m_replica);
  }
  CHECK_EQUAL(one.m_bootstrap[0].m_replica, one.m_replica);
  CHECK_EQUAL(one.m_bootstrap[1].m_replica, other.m_replica);
}

TEST(ReplicaIdentity, AFounderThatLostItsDiskIsAnotherReplica)
{
  m_start.m_isFirstStart = true;
  const std::uint64_t before = Choose().m_replica;
  m_start.m_isFirstStart = false;
  const ReplicaIdentity after = Choose();
  CHECK(after.m_replica != before);
  CHECK(after.m_bootstrap.empty());
}

TEST(ReplicaIdentity, OthersJoinAlsoAtTheFirstStart)
{
  m_start.m_isFirstStart = true;
  m_start.m_own = { "10.0.0.9", 7000 };
  CHECK(Choose().m_bootstrap.empty());
}

TEST(ReplicaIdentity, AFolderKeepsItsReplica)
{
  StoreReason reason;
  CHECK(WriteIdentity(m_files, m_folder.Path(), { 42, 1, 0 }, reason));
  CHECK_EQUAL(42U, Choose().m_replica);
}

TEST(ReplicaIdentity, ADamagedFolderIsSetAsideAndNothingOfItIsLost)
{
  constexpr std::uint64_t kUnixMs = 1'765'000'000'000;
  const std::string folder = m_folder.Path() + "/";
  StoreReason reason;
  for (const char* const aside :
       { "damaged-20251206T054640Z", "damaged-20251206T054640Z-2" }) {
    CHECK(WriteIdentity(m_files, m_folder.Path(), { 42, 1, 0 }, reason));
    const auto bytes = m_files.Read(folder + kIdentityName, reason);
    const auto moved =
      SetFolderAside(m_files, m_folder.Path(), kUnixMs, reason);
    CHECK(moved == std::optional<std::string>(aside));
    CHECK(m_files.Read(folder + *moved + "/" + kIdentityName, reason) == bytes);
    const auto names = m_files.List(m_folder.Path(), reason);
    for (const std::string& name : *names) {
      CHECK(name == "lock" || name.starts_with("damaged-"));
    }
    // Also not under the identity that its address gives.
    m_start.m_isFirstStart = true;
    CHECK_EQUAL(99U, Choose().m_replica & 0xFFU);
    CHECK(Choose().m_bootstrap.empty());
  }
}
