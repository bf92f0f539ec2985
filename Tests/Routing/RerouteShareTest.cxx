// Tests of how many streams are led round a lost stage, with replays of a
// crash.
#include <algorithm>
#include <vector>

#include "Routing/Random.h"
#include "Routing/RerouteShare.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// The shortest target for pauses less what it takes to find a dead engine.
constexpr double kInTimeMs = 200 - 90;

// Streams that go on in time: those that are led round are read one after the
// other by the engine that steps in, the others by the paths they begin at.
int
ReplayCrash(const RerouteLoad& aLoad, double aShare)
{
  Random random(5);
  double here = 0;
  std::vector<double> paths(aLoad.m_paths, aLoad.m_pathPrefillMs);
  int inTime = 0;
  for (int i = 0; i < static_cast<int>(aLoad.m_streams); ++i) {
    if (random.Fraction() <= aShare) {
      here += aLoad.m_replacementPrefillMs;
      inTime += here <= kInTimeMs ? 1 : 0;
    } else {
      double& path = paths[random.Below(paths.size())];
      path += aLoad.m_restartPrefillMs;
      inTime += path <= kInTimeMs ? 1 : 0;
    }
  }
  return inTime;
}

} // namespace

TEST_GROUP(RerouteShare){};

// Load pattern: a chain of a grown fleet with a hundred streams loses an engine
// and has one that can step in; eight other chains idle.
TEST(RerouteShare, MostOfAHundredStreamsBeginAnew)
{
  const RerouteLoad load{ 104, 3.5, 4.8, 50, 8 };
  const double share = ComputeRerouteShare(load);
  CHECK(share < 0.4);
  const int inTime = ReplayCrash(load, share);
  CHECK(inTime > 2 * ReplayCrash(load, 1));
  CHECK(inTime > ReplayCrash(load, 0));
}

// Load pattern: the same in a small fleet with two other chains.
TEST(RerouteShare, MoreAreLedRoundWhereFewOtherPathsAreLeft)
{
  const RerouteLoad load{ 40, 3, 4.8, 50, 2 };
  const double share = ComputeRerouteShare(load);
  CHECK(share > 0.5);
  const int inTime = ReplayCrash(load, share);
  CHECK(inTime >= ReplayCrash(load, 1));
  CHECK(inTime > ReplayCrash(load, 0));
}

TEST(RerouteShare, AFewStreamsAreAllLedRound)
{
  DOUBLES_EQUAL(1, ComputeRerouteShare({ 12, 3, 4.8, 50, 8 }), 1e-9);
}

TEST(RerouteShare, AllAreLedRoundWithoutOtherPaths)
{
  DOUBLES_EQUAL(1, ComputeRerouteShare({ 100, 3, 0, 0, 0 }), 1e-9);
  DOUBLES_EQUAL(1, ComputeRerouteShare({}), 1e-9);
}
