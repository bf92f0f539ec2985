// Continuous batching of an engine stand-in: steps share rounds of work.
#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Fakes/EngineCore.h"
#include "Fakes/HttpMessages.h"
#include "Fakes/LoadReports.h"

namespace parsleycove::fakes {

// Runs waiting steps in rounds, more urgent ones first. A round takes a fixed
// time and a share for each position that the prefix cache does not cover.
class Rounds
{
public:
  Rounds(boost::asio::io_context& aContext,
         const EngineOptions& aOptions,
         EngineCore& aCore);

  void Start();
  // Waits until all steps have run and returns their results in order.
  Awaitable<std::vector<StepResult>> RunAll(std::vector<Step> aSteps);
  // The load as the engine reports it, which lags.
  Load ReportLoad();
  bool Idle() const { return m_waiting.empty() && m_running == 0; }
  // When a step last ran.
  std::chrono::steady_clock::time_point LastRun() const { return m_lastRun; }

private:
  // One call to RunAll.
  struct Batch
  {
    Batch(boost::asio::io_context& aContext, std::size_t aSteps)
      : m_done(aContext, boost::asio::steady_timer::time_point::max())
      , m_results(aSteps)
      , m_left(aSteps)
    {
    }
    boost::asio::steady_timer m_done; // cancelled when nothing is left
    std::vector<StepResult> m_results;
    std::size_t m_left;
  };
  struct Waiting
  {
    Step m_step;
    Batch* m_batch; // lives until m_left is 0
    std::size_t m_place;
  };

  Awaitable<void> RunRounds();
  std::list<Waiting> TakeRound();
  void RecordLoad();

  boost::asio::io_context& m_context;
  const EngineOptions& m_options;
  EngineCore& m_core;
  boost::asio::steady_timer m_work; // cancelled when a step comes in
  std::list<Waiting> m_waiting;     // by priority, then in order of arrival
  std::size_t m_running = 0;
  std::chrono::steady_clock::time_point m_lastRun;
  LoadReports m_load;
};

} // namespace parsleycove::fakes
