// Continuous batching of an engine stand-in: steps share rounds of work.
#include "Fakes/Rounds.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace parsleycove::fakes {

namespace {

namespace asio = boost::asio;

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxRoundPositions = 512;

using Clock = std::chrono::steady_clock;

} // namespace

Rounds::Rounds(asio::io_context& aContext,
               const EngineOptions& aOptions,
               EngineCore& aCore)
  : m_context(aContext)
  , m_options(aOptions)
  , m_core(aCore)
  , m_work(aContext)
  , m_load(std::chrono::milliseconds(aOptions.m_loadLagMs))
{
}

void
Rounds::Start()
{
  asio::co_spawn(m_context, RunRounds(), asio::detached);
}

Awaitable<std::vector<StepResult>>
Rounds::RunAll(std::vector<Step> aSteps)
{
  Batch batch(m_context, aSteps.size());
  for (std::size_t place = 0; place < aSteps.size(); ++place) {
    Step& step = aSteps[place];
    if (m_waiting.size() + m_running >= m_options.m_slots) {
      batch.m_results[place].m_id = step.m_id;
      batch.m_results[place].m_position = step.m_position;
      batch.m_results[place].m_status = StepStatus::Refused;
      --batch.m_left;
      continue;
    }
    const auto later = std::find_if(
      m_waiting.begin(), m_waiting.end(), [&](const Waiting& aOther) {
        return aOther.m_step.m_priority > step.m_priority;
      });
    m_waiting.insert(later, Waiting{ std::move(step), &batch, place });
  }
  RecordLoad();
  m_work.cancel();
  while (batch.m_left > 0) {
    co_await batch.m_done.async_wait(kUse);
  }
  co_return std::move(batch.m_results);
}

std::list<Rounds::Waiting>
Rounds::TakeRound()
{
  std::list<Waiting> round;
  std::size_t positions = 0;
  while (!m_waiting.empty() && positions < kMaxRoundPositions) {
    positions += m_waiting.front().m_step.m_inputs.size();
    round.splice(round.end(), m_waiting, m_waiting.begin());
  }
  m_running = round.size();
  RecordLoad();
  return round;
}

Awaitable<void>
Rounds::RunRounds()
{
  asio::steady_timer pace(m_context);
  Clock::time_point end = Clock::now();
  for (;;) {
    if (m_waiting.empty()) {
      m_work.expires_at(Clock::time_point::max());
      co_await m_work.async_wait(kUse);
      end = std::max(end, Clock::now());
      continue;
    }
    std::list<Waiting> round = TakeRound();
    std::size_t paid = 0;
    for (Waiting& one : round) {
      StepOutcome outcome = m_core.Run(one.m_step);
      paid += outcome.m_paidPositions;
      one.m_batch->m_results[one.m_place] = std::move(outcome.m_result);
    }
    const std::chrono::duration<double> cost(m_options.m_roundMs / 1000 +
                                             static_cast<double>(paid) /
                                               m_options.m_tokensPerSecond);
    end += std::chrono::duration_cast<Clock::duration>(cost);
    pace.expires_at(end);
    co_await pace.async_wait(kUse);
    m_lastRun = Clock::now();
    m_running = 0;
    RecordLoad();
    for (Waiting& one : round) {
      if (--one.m_batch->m_left == 0) {
        one.m_batch->m_done.cancel();
      }
    }
  }
}

void
Rounds::RecordLoad()
{
  m_load.Record(Clock::now(),
                { static_cast<std::uint32_t>(m_waiting.size()),
                  static_cast<std::uint32_t>(m_running) });
}

Load
Rounds::ReportLoad()
{
  return m_load.Report(Clock::now());
}

} // namespace parsleycove::fakes
