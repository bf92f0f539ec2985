// Tests of the feature level that a replica group agrees on.
#include "Control/GroupFeatureLevel.h"

#include <memory>

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr std::uint32_t kOwn = 3;

// Replicas 1 to aVoters are voters, those up to aMembers learners.
consensus::MembershipT
MakeMembers(std::uint64_t aVoters, std::uint64_t aMembers)
{
  consensus::MembershipT members;
  for (std::uint64_t replica = 1; replica <= aMembers; ++replica) {
    auto member = std::make_unique<consensus::MemberT>();
    member->replica = replica;
    member->voter = replica <= aVoters;
    members.members.push_back(std::move(member));
  }
  return members;
}

} // namespace

// clang-format off
TEST_GROUP(GroupFeatureLevel)
{
  GroupFeatureLevel m_level{ 1, kOwn, 0 };
};

TEST(GroupFeatureLevel, IsTheLowestLevelOfAllMembers)
{
  m_level.RecordMember(2, 2);
  m_level.RecordMember(3, 5);
  LONGS_EQUAL(2, m_level.AsLeader(MakeMembers(3, 3), 0));
  m_level.RecordMember(2, 5);
  LONGS_EQUAL(kOwn, m_level.AsLeader(MakeMembers(3, 3), 0));
}

TEST(GroupFeatureLevel, AMemberThatHasNotSpokenCountsAsOneFromBeforeLevels)
{
  m_level.RecordMember(2, kOwn);
  LONGS_EQUAL(0, m_level.AsLeader(MakeMembers(3, 3), 0));
  LONGS_EQUAL(kOwn, m_level.AsLeader(MakeMembers(2, 2), 0));
}

TEST(GroupFeatureLevel, ALearnerCounts)
{
  m_level.RecordMember(2, kOwn);
  m_level.RecordMember(3, 1);
  LONGS_EQUAL(1, m_level.AsLeader(MakeMembers(2, 3), 0));
}

TEST(GroupFeatureLevel, AMemberThatComesBackWithAnOlderBuildCountsWithIt)
{
  m_level.RecordMember(2, kOwn);
  m_level.RecordMember(2, 0);
  LONGS_EQUAL(0, m_level.AsLeader(MakeMembers(2, 2), 0));
}

TEST(GroupFeatureLevel, TheLevelOfTheLogStaysAgreed)
{
  LONGS_EQUAL(2, m_level.AsLeader(MakeMembers(3, 3), 2));
  LONGS_EQUAL(2, m_level.AsFollower(0, 2));
}

TEST(GroupFeatureLevel, AGroupBelowItsTargetAgreesOnNothingHigher)
{
  GroupFeatureLevel level(1, kOwn, 3);
  level.RecordMember(2, kOwn);
  LONGS_EQUAL(0, level.AsLeader(MakeMembers(2, 2), 0));
  LONGS_EQUAL(1, level.AsLeader(MakeMembers(2, 2), 1));
  level.RecordMember(3, kOwn);
  LONGS_EQUAL(kOwn, level.AsLeader(MakeMembers(3, 3), 1));
}

TEST(GroupFeatureLevel, AFollowerTakesTheWordOfItsPresentLeaderOnly)
{
  m_level.RecordLeaderWord(2, 2);
  LONGS_EQUAL(2, m_level.AsFollower(2, 0));
  LONGS_EQUAL(0, m_level.AsFollower(3, 0));
  LONGS_EQUAL(0, m_level.AsFollower(0, 0));
  // A leader of an older build states nothing.
  m_level.RecordLeaderWord(2, 0);
  LONGS_EQUAL(0, m_level.AsFollower(2, 0));
  m_level.RecordLeaderWord(2, kOwn + 1);
  LONGS_EQUAL(kOwn, m_level.AsFollower(2, 0));
}
// clang-format on
