// Tests of the flow bound against values computed by hand.
#include "Routing/FlowBound.h"

#include "Routing/TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(FlowBound){};

TEST(FlowBound, TheNarrowestStageDecides)
{
  DOUBLES_EQUAL(
    70.0,
    ComputeFlowBound(
      4, { { 0, 1, 50 }, { 0, 1, 30 }, { 2, 3, 40 }, { 2, 3, 30 } }, {}),
    1e-6);
}

TEST(FlowBound, RangesMustAbut)
{
  DOUBLES_EQUAL(0.0, ComputeFlowBound(4, { { 0, 2, 9 }, { 2, 3, 9 } }, {}), 0);
  DOUBLES_EQUAL(0.0, ComputeFlowBound(4, { { 0, 2, 9 } }, {}), 0);
  DOUBLES_EQUAL(0.0, ComputeFlowBound(4, {}, {}), 0);
}

TEST(FlowBound, ParallelCutsShareTheirCommonStages)
{
  // One runner for layers 0-3 carries 10. Layers 0-1 feed 2-3, and 2-2 followed
  // by 3-3: min(25, 12 + min(9, 5)).
  DOUBLES_EQUAL(
    27.0,
    ComputeFlowBound(
      4,
      { { 0, 3, 10 }, { 0, 1, 25 }, { 2, 3, 12 }, { 2, 2, 9 }, { 3, 3, 5 } },
      {}),
    1e-6);
}

TEST(FlowBound, LinksBetweenZonesLimit)
{
  const std::vector<StageRate> runners{ { 0, 0, 100, "a" },
                                        { 1, 1, 30, "a" },
                                        { 1, 1, 100, "b" } };
  DOUBLES_EQUAL(100.0, ComputeFlowBound(2, runners, {}), 1e-6);
  DOUBLES_EQUAL(50.0, ComputeFlowBound(2, runners, { { "a", "b", 20 } }), 1e-6);
}

TEST(FlowBound, CountsReadyRunnersOfTheServedVersion)
{
  TestCluster cluster;
  cluster.AddModel("m", 2);
  cluster.AddEngine("e0", "m", 0, 1, 100);
  cluster.AddEngine("e1", "m", 0, 1, 100).version = "v0";
  cluster.AddEngine("e2", "m", 0, 1, 100).phase = state::EndpointPhase::Leaving;
  DOUBLES_EQUAL(100.0, ComputeFlowBound(*cluster.Build(), "m"), 1e-6);
}
