// Tests of the phases of a graceful stop.
#include "Base/DrainState.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

constexpr Duration kGrace = std::chrono::seconds(3);
constexpr TimePoint kStart{ std::chrono::seconds(100) };

} // namespace

TEST_GROUP(DrainState)
{
  DrainState m_state{ kGrace };
};

TEST(DrainState, ServesWhileTheBalancerStillSendsCallers)
{
  CHECK(m_state.Phase(kStart) == DrainPhase::Serving);
  m_state.Begin(kStart);
  CHECK(m_state.Phase(kStart) == DrainPhase::TurningAway);
  CHECK(m_state.Phase(kStart + kGrace) == DrainPhase::Draining);
}

TEST(DrainState, EndsOnlyWhenNothingIsInProgress)
{
  m_state.Begin(kStart);
  {
    const ActiveRequest active(m_state);
    CHECK_FALSE(m_state.IsFinished(kStart + kGrace));
  }
  CHECK_FALSE(m_state.IsFinished(kStart));
  CHECK(m_state.IsFinished(kStart + kGrace));
}

TEST(DrainState, SecondOrderToStopChangesNothing)
{
  m_state.Begin(kStart);
  m_state.Begin(kStart + kGrace);
  CHECK(m_state.Phase(kStart + kGrace) == DrainPhase::Draining);
}

TEST(DrainState, WorkEndsAtItsLimitAfterTheStopBegan)
{
  DrainState limited(kGrace, 2 * kGrace);
  CHECK(limited.WorkDeadline() == TimePoint::max());
  limited.Begin(kStart);
  limited.Begin(kStart + kGrace);
  CHECK(limited.WorkDeadline() == kStart + 2 * kGrace);
  m_state.Begin(kStart);
  CHECK(m_state.WorkDeadline() == TimePoint::max());
}
