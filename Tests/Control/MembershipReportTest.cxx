// Tests the log lines about the members of the group, and the decisions of a
// replica that keeps its membership.
#include "Control/MembershipReport.h"
#include "Control/LineRepeater.h"
#include "Control/MembershipCheck.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(100) + std::chrono::milliseconds(aMs));
}

void
Put(consensus::MembershipT& aGroup, std::uint64_t aReplica, bool aVoter)
{
  auto member = std::make_unique<consensus::MemberT>();
  member->replica = aReplica;
  member->vm = "vm-" + std::to_string(aReplica);
  member->address = "10.0.0." + std::to_string(aReplica);
  member->port = 7000;
  member->voter = aVoter;
  aGroup.members.push_back(std::move(member));
}

consensus::MembershipT
MakeGroup(std::uint64_t aVoters, std::uint64_t aLearners = 0)
{
  consensus::MembershipT group;
  for (std::uint64_t i = 1; i <= aVoters + aLearners; ++i) {
    Put(group, i, i <= aVoters);
  }
  return group;
}

} // namespace

// clang-format off
TEST_GROUP(MembershipReport)
{
  MembershipReport m_report{ 5 };

  void CheckOneLine(const consensus::MembershipT& aNext, const char* aLine)
  {
    const auto lines = m_report.Update(At(0), aNext);
    CHECK_EQUAL(1U, lines.size());
    STRCMP_EQUAL(aLine, lines[0].c_str());
  }
};
// clang-format on

TEST(MembershipReport, NamesEachChangeItsEvidenceAndTheVotersAfterIt)
{
  m_report.Start(At(0), MakeGroup(4));
  CHECK_EQUAL(0U, m_report.Update(At(0), MakeGroup(4)).size());
  m_report.SetEvidence(5, "asked to be added");
  CheckOneLine(MakeGroup(4, 1),
               "member 5 on VM \"vm-5\": no member -> learner at "
               "10.0.0.5:7000; evidence: asked to be added; voters 4, target "
               "5");
  m_report.SetEvidence(5, "caught up to 9 of 9");
  CheckOneLine(MakeGroup(5),
               "member 5 on VM \"vm-5\": learner at 10.0.0.5:7000 -> voter at "
               "10.0.0.5:7000; evidence: caught up to 9 of 9; voters 5, target "
               "5");
  m_report.SetEvidence(5, "silent for 3460 ms");
  CheckOneLine(MakeGroup(4),
               "member 5 on VM \"vm-5\": voter at 10.0.0.5:7000 -> no member; "
               "evidence: silent for 3460 ms; voters 4, target 5");
}

TEST(MembershipReport, EvidenceIsUsedForItsOwnChangeOnly)
{
  m_report.Start(At(0), MakeGroup(4));
  m_report.SetEvidence(5, "asked to be added");
  m_report.Update(At(0), MakeGroup(4, 1));
  CheckOneLine(MakeGroup(4),
               "member 5 on VM \"vm-5\": learner at 10.0.0.5:7000 -> no "
               "member; evidence: the leader's log; voters 4, target 5");
}

TEST(MembershipReport, AGroupBelowItsTargetIsDescribed)
{
  m_report.Start(At(0), MakeGroup(4));
  m_report.Update(At(1000), MakeGroup(4, 1));
  m_report.Update(At(2000), MakeGroup(4, 2));
  STRCMP_EQUAL("the group is below its target: voters 4, target 5; silent "
               "voters: none; members without a vote: 5 for 3000 ms 6 for 2000 "
               "ms; last refused change: why",
               m_report.DescribeShortage(At(4000), {}, "why").c_str());
  CHECK_EQUAL(2U, m_report.CountWithoutVote());
  CHECK(m_report.OldestWithoutVoteSince() == At(1000));
}

TEST(MembershipReport, ASilentVoterDoesNotCountTowardsTheTarget)
{
  m_report.Start(At(0), MakeGroup(5));
  STRCMP_EQUAL("", m_report.DescribeShortage(At(0), {}, "why").c_str());
  STRCMP_EQUAL("the group is below its target: voters 5, target 5; silent "
               "voters: 2; members without a vote: none; last refused change: "
               "none",
               m_report.DescribeShortage(At(0), { 2 }, "").c_str());
  CHECK(m_report.OldestWithoutVoteSince() == TimePoint::max());
}

// Guards against a lost voter beyond the target that no line tells of.
TEST(MembershipReport, ASilentVoterBeyondTheTargetIsAShortage)
{
  m_report.Start(At(0), MakeGroup(6));
  CHECK_EQUAL(2U, m_report.CountBearableLosses(0));
  STRCMP_EQUAL("", m_report.DescribeShortage(At(0), {}, "why").c_str());
  CHECK_EQUAL(1U, m_report.CountBearableLosses(1));
  STRCMP_EQUAL("the group is below its target: voters 6, target 5; silent "
               "voters: 3; members without a vote: none; last refused change: "
               "why",
               m_report.DescribeShortage(At(0), { 3 }, "why").c_str());
}

TEST(MembershipReport, AReplicaWithoutALeaderNamesTheVotersItDoesNotHear)
{
  m_report.Start(At(0), MakeGroup(4, 1));
  // Neither a learner nor a replica that is no member counts.
  STRCMP_EQUAL(
    "no leader for 1600 ms in term 7: voters 4, needed 3, heard "
    "from 2; silent voters: 2 at 10.0.0.2:7000 4 at 10.0.0.4:7000",
    m_report
      .DescribeWithoutLeader(std::chrono::milliseconds(1600), 7, { 1, 3, 5, 9 })
      .c_str());
}

TEST_GROUP(LineRepeater){};

TEST(LineRepeater, ALastingFaultIsLoggedAgainAtIntervals)
{
  LineRepeater repeater{ std::chrono::seconds(5) };
  CHECK(repeater.IsDue(At(0), "fault"));
  CHECK_FALSE(repeater.IsDue(At(4999), "fault"));
  CHECK(repeater.IsDue(At(5000), "fault"));
  CHECK(repeater.IsDue(At(5001), "other fault"));
  CHECK_FALSE(repeater.IsDue(At(5002), ""));
  CHECK(repeater.IsDue(At(5003), "other fault"));
}

// clang-format off
TEST_GROUP(MembershipCheck)
{
  MembershipCheck m_check{ 7 };
  ControlReason m_timeout{ ControlError::NotAccepted, "no leader" };

  feed::StatusReplyT MakeStatus(std::uint64_t aReplica)
  {
    feed::StatusReplyT status;
    status.replicas.push_back(std::make_unique<feed::ReplicaStatusT>());
    status.replicas.back()->replica = aReplica;
    return status;
  }
};
// clang-format on

TEST(MembershipCheck, JoinsOnlyAGroupThatDoesNotListIt)
{
  const auto listed = MakeStatus(7);
  CHECK_FALSE(m_check.OnStatus(&listed, {}).m_joins);
  CHECK(m_check.OnStatus(&listed, {}).m_fault.empty());
  const auto missing = MakeStatus(8);
  CHECK(m_check.OnStatus(&missing, {}).m_joins);
  const auto unknown = m_check.OnStatus(nullptr, m_timeout);
  CHECK_FALSE(unknown.m_joins);
  STRCMP_EQUAL("cannot read the members of the group: no leader",
               unknown.m_fault.c_str());
}

TEST(MembershipCheck, ReadsTheMembersAgainAfterEachAnswer)
{
  feed::AdminReplyT reply;
  reply.text = "another change is under way";
  CHECK(m_check.OnJoinReply(&reply, {}).m_wait.count() > 0);
  STRCMP_EQUAL("the group did not add this replica: another change is under "
               "way",
               m_check.OnJoinReply(&reply, {}).m_fault.c_str());
  STRCMP_EQUAL("the group did not add this replica: no leader",
               m_check.OnJoinReply(nullptr, m_timeout).m_fault.c_str());
}
