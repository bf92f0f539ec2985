// Tests which engines of a path count as hung.
#include "Routing/HungStages.h"
#include "Routing/EngineFleet.h"

// Last, since its leak macros redefine new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000)) + std::chrono::milliseconds(aMs);
}

} // namespace

// clang-format off
TEST_GROUP(HungStages)
{
  StagePath m_path;

  // An event last passes the engines at these times, in ms; a negative time
  // stands for none.
  void SetEvents(const std::vector<int>& aTimes)
  {
    for (const int time : aTimes) {
      boost::intrusive_ptr<Runner> engine(new Runner);
      engine->m_id = "e" + std::to_string(m_path.m_stages.size());
      engine->m_load = new RunnerLoad;
      if (time >= 0) {
        engine->m_load->RecordEvent(At(time));
      }
      m_path.m_stages.push_back({ engine, {}, 0 });
    }
  }
};
// clang-format on

TEST(HungStages, AnEngineThatNoEventPassesWhileTheOthersGoOnIsHung)
{
  SetEvents({ 130, 120, 90, 140 });
  const auto hung = FindHungStages(m_path, At(100));
  CHECK_EQUAL(1U, hung.size());
  STRCMP_EQUAL("e2", hung.front()->m_id.c_str());
}

TEST(HungStages, AnAnswerToAProbeIsNoEvent)
{
  SetEvents({ 130, -1, 120 });
  m_path.m_stages[1].m_runner->m_load->CloseCircuit(At(150));
  CHECK_EQUAL(1U, FindHungStages(m_path, At(100)).size());
}

TEST(HungStages, APathOnWhichLittleMovesMayBeSlow)
{
  SetEvents({ 130, 90, -1 });
  CHECK(FindHungStages(m_path, At(100)).empty());
}

TEST(HungStages, AnEngineThatServesTheWholeModelIsNoEvidenceAgainstItself)
{
  SetEvents({ 90 });
  CHECK(FindHungStages(m_path, At(100)).empty());
}
