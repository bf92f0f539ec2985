// Runs one generation against toy engines in virtual time, with faults.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Routing/StreamStateMachine.h"
#include "Routing/TestCluster.h"
#include "Routing/ToyModel.h"

namespace parsleycove {

enum class StreamFault
{
  None,
  DropStep,
  DropResult,
  DuplicateStep,
  DuplicateResult,
  DelayResult,
  ReorderResult,
  KillBefore,
  KillAfter,
  BreakConnection,
  Gap,
  Refuse,
  Cancel,
  SlowCaller,
};
inline constexpr std::size_t kStreamFaults = 14;

// Which step, counted from 0 over all that are sent, meets which fault.
struct PlannedFault
{
  std::size_t m_step = 0;
  StreamFault m_fault = StreamFault::None;
};

class StreamSimulation
{
public:
  StreamSimulation(std::uint32_t aMaxTokens,
                   std::uint32_t aPrefillChunk,
                   std::vector<PlannedFault> aFaults);

  void Run();

  // What was seen.
  std::string m_text;
  bool m_indicesInOrder = true;
  std::vector<FinishStream> m_finishes;
  std::size_t m_stepsSent = 0;
  std::size_t m_tokensWhileSlow = 0;
  bool m_cancelled = false;
  bool m_sentAfterFinish = false;
  std::uint32_t m_attempts = 0;
  TimePoint m_finishedAt;

  bool RanEachPositionOnce() const;
  bool AreLoadsZero() const;
  static std::vector<std::uint32_t> Prompt() { return { 5, 9, 2 }; }

private:
  using Event = std::function<void()>;

  void At(Duration aDelay, Event aEvent);
  void Perform(const StreamAction& aAction);
  void DoSendStep(const SendStep& aAction);
  void Deliver(const SendStep& aAction, Duration aDelay);
  void DoNeedChain(const NeedChain& aAction);
  void DoEmit(const EmitToken& aAction);
  void PerformActions();
  StreamFault FaultAt(std::size_t aStep) const;

  boost::intrusive_ptr<const RunnerTable> m_table;
  std::map<std::string, ToyEngine> m_engines;
  std::map<std::string, bool> m_failed;
  std::vector<PlannedFault> m_faults;
  std::unique_ptr<StreamStateMachine> m_machine;
  TimePoint m_now = kTestStart;
  std::multimap<TimePoint, Event> m_events;
  bool m_slow = false;
};

} // namespace parsleycove
