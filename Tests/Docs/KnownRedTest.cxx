// Tests of the list of tests that are known to fail.
#include "Support/KnownRed.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

// clang-format off
TEST_GROUP(KnownRed) {};
// clang-format on

TEST(KnownRed, NamesTheTestsOfOneProgram)
{
  const auto tests = FindKnownRed("test: RoutingTests Group.First\n"
                                  "seen: test: RoutingTests Group.Other\n"
                                  "test: StateTests Group.Second\n"
                                  "test: RoutingTests Group.Third\n",
                                  "RoutingTests");
  CHECK_EQUAL(2U, tests.size());
  STRCMP_EQUAL("Group.First", tests[0].c_str());
  STRCMP_EQUAL("Group.Third", tests[1].c_str());
}

TEST(KnownRed, AnEmptyListNamesNone)
{
  CHECK(FindKnownRed("No test is known to be red.\n", "RoutingTests").empty());
}
