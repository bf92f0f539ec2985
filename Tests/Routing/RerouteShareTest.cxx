// Tests the share of streams that is rerouted around a failed stage, with
// replays of an engine failure.
#include <algorithm>
#include <vector>

#include "Routing/Random.h"
#include "Routing/RerouteShare.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// The shortest event gap target, 200 ms, less the 90 ms that it takes to detect
// a failed engine.
constexpr double kInTimeMs = 200 - 90;

// Returns how many streams continue in time. The replacement engine prefills
// rerouted streams one after the other; the other paths prefill the streams
// that restart there.
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

// Fault pattern: a chain with a hundred streams in a large fleet loses an
// engine, and one engine can replace it. Eight other chains are idle.
TEST(RerouteShare, MostOfAHundredStreamsBeginAnew)
{
  const RerouteLoad load{ 104, 3.5, 4.8, 50, 8 };
  const double share = ComputeRerouteShare(load);
  CHECK(share < 0.4);
  const int inTime = ReplayCrash(load, share);
  CHECK(inTime > 2 * ReplayCrash(load, 1));
  CHECK(inTime > ReplayCrash(load, 0));
}

// Fault pattern: a chain in a small fleet with two other chains loses an
// engine.
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
