// Which changes of a membership the availability zones allow.
#include "Consensus/MembershipRules.h"

#include <CppUTest/TestHarness.h>

#include <cctype>
#include <memory>

namespace parsleycove {

namespace {

// A letter a member: its zone, in upper case for a learner; '?' is a voter
// whose zone is not known.
consensus::MembershipT
MakeMembership(const std::string& aZones)
{
  consensus::MembershipT membership;
  for (const char letter : aZones) {
    auto member = std::make_unique<consensus::MemberT>();
    member->replica = membership.members.size() + 1;
    member->voter = std::isupper(static_cast<unsigned char>(letter)) == 0;
    if (letter != '?') {
      member->zone =
        static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    membership.members.push_back(std::move(member));
  }
  return membership;
}

consensus::MembershipT
MakeWithout(const std::string& aZones, std::size_t aIndex)
{
  consensus::MembershipT next = MakeMembership(aZones);
  next.members.erase(next.members.begin() +
                     static_cast<std::ptrdiff_t>(aIndex));
  return next;
}

bool
MayRemove(const std::string& aZones, std::size_t aIndex)
{
  return !FindChangeFault(MakeMembership(aZones), MakeWithout(aZones, aIndex));
}

bool
GivesAZoneAMajority(const std::string& aZones, std::size_t aIndex)
{
  return FindSpreadFault(MakeMembership(aZones), MakeWithout(aZones, aIndex))
    .has_value();
}

// The last member is the learner.
bool
MayPromote(const std::string& aZones)
{
  const consensus::MembershipT current = MakeMembership(aZones);
  consensus::MembershipT next = MakeMembership(aZones);
  next.members.back()->voter = true;
  return !FindChangeFault(current, next);
}

} // namespace

TEST_GROUP(MembershipRules){};

TEST(MembershipRules, AGroupInOneZoneReplacesLostVoters)
{
  CHECK(MayPromote("aaaA"));
  CHECK(MayRemove("aaaa", 0));
  CHECK(MayPromote("a??A"));
  CHECK(MayRemove("aa??", 3));
  CHECK(MayPromote("aa?A"));
  CHECK(MayPromote("aaaaaA"));
}

// Guards against a lost voter that keeps its vote since its removal gives a
// zone a majority.
TEST(MembershipRules, ALostVoterIsReplacedWhateverTheZones)
{
  CHECK(MayPromote("aabbcA"));
  CHECK(MayRemove("aabbca", 4));
  CHECK(MayPromote("abcA"));
  CHECK(MayRemove("abca", 2));
  CHECK(MayRemove("aabca", 2));
  CHECK(MayPromote("aabA"));
  CHECK(MayRemove("aa?cB", 3));
}

TEST(MembershipRules, TheRemovalOfAVoterIsToldToGiveAZoneAMajority)
{
  CHECK(GivesAZoneAMajority("abca", 2));
  CHECK(GivesAZoneAMajority("aabbca", 4));
  CHECK(GivesAZoneAMajority("aa?cB", 3));
  CHECK(!GivesAZoneAMajority("abca", 0));
  // The zone has the majority already.
  CHECK(!GivesAZoneAMajority("aabca", 2));
  CHECK(!GivesAZoneAMajority("aaaa", 0));
  CHECK(GivesAZoneAMajority("aabb", 0));
}

TEST(MembershipRules, AGroupGrowsWhateverTheZones)
{
  CHECK(MayPromote("aA"));
  CHECK(MayPromote("aaA"));
  CHECK(MayPromote("abC"));
}

} // namespace parsleycove
