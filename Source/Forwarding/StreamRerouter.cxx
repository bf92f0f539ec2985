// Reroutes streams around a failed or slow stage.
#include "Forwarding/StreamRerouter.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Routing/Random.h"
#include "Telemetry/LoggedSpawn.h"

namespace parsleycove {

namespace {

// Engines answer orders within one round trip, without a slot; a stream
// tolerates a pause of at most 200 ms.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(80);
// Each order after a refusal tries another replacement engine; more orders
// would take longer than a restart.
constexpr int kMaxOrders = 3;
// Concurrent orders to one engine. Many new connections at once overflow the
// engine's connection queue; with a single worker, one unanswered order would
// delay all others.
constexpr int kMaxWorkers = 3;

} // namespace

StreamRerouter::StreamRerouter(asio::io_context& aContext,
                               const ForwardDialect& aDialect,
                               DecisionLog& aLog)
  : m_context(aContext)
  , m_dialect(aDialect)
  , m_log(aLog)
  , m_client(aContext.get_executor(), EndpointClient::kMaxShortHeldBytes)
{
}

void
StreamRerouter::Attach(RoutingState& aRouting, ForwardMetrics& aMetrics)
{
  m_routing = &aRouting;
  m_metrics = &aMetrics;
}

bool
StreamRerouter::RerouteTask::AddsNoCrossing() const
{
  return m_path && m_path->m_crossings <= m_stream->Path()->m_crossings;
}

StreamRerouter::RerouteTask
StreamRerouter::MakeTask(const EndpointCallPtr& aStream) const
{
  RerouteTask task{ aStream, nullptr, {}, BootClock::now() };
  task.m_request.m_tokens = aStream->ExpectedTokens();
  task.m_request.m_seed = HashId(aStream->AttemptId());
  return task;
}

void
StreamRerouter::MoveOffSlowStage(const EndpointCallPtr& aStream,
                                 const Runner& aSlow)
{
  const bool isStage = aStream->Path()->Uses(aSlow.m_id) &&
                       aStream->Path()->First().m_id != aSlow.m_id;
  if (!isStage || aStream->IsRerouting() || !aStream->MayReroute()) {
    return;
  }
  RerouteTask task = MakeTask(aStream);
  task.m_request.m_excluded.push_back(aSlow.m_id);
  task.m_path = FindPath(*aStream, task.m_request);
  if (task.AddsNoCrossing()) {
    Enqueue(std::move(task));
  }
}

void
StreamRerouter::MoveOffFailedStage(const EndpointCallPtr& aStream)
{
  if (aStream->IsRerouting()) {
    return;
  }
  RerouteTask task = MakeTask(aStream);
  if (aStream->MayReroute()) {
    task.m_path = FindPath(*aStream, task.m_request);
  }
  const bool stays = task.AddsNoCrossing() && !ShouldRestart(task);
  if ((stays || !Restart(*aStream)) && task.m_path) {
    Enqueue(std::move(task));
  }
}

void
StreamRerouter::TakeQuotas(const RerouteTask& aTask)
{
  const TimePoint now = BootClock::now();
  for (const PathStage& stage : aTask.m_path->m_stages) {
    if (!aTask.m_stream->Path()->Uses(stage.m_runner->m_id)) {
      RequestQuota& quota = stage.m_runner->m_load->Quota();
      quota.RecordDemand(now);
      quota.Take(now);
    }
  }
}

void
StreamRerouter::Enqueue(RerouteTask aTask)
{
  TakeQuotas(aTask);
  aTask.m_stream->SetRerouting(true);
  const std::string first = aTask.m_stream->Target()->m_address.ToString();
  RerouteQueue& queue = m_queues[first];
  const std::size_t level = aTask.m_stream->Level();
  const auto place = std::find_if(queue.m_waiting.begin(),
                                  queue.m_waiting.end(),
                                  [level](const RerouteTask& aOther) {
                                    return aOther.m_stream->Level() > level;
                                  });
  queue.m_waiting.insert(place, std::move(aTask));
  if (queue.m_workers < kMaxWorkers) {
    ++queue.m_workers;
    SpawnLogged(m_context, "rerouting streams", RunWorker(first));
  }
}

asio::awaitable<void>
StreamRerouter::RunWorker(std::string aFirstAddress)
{
  // The failure of a stage is handled for one stream after the other; the first
  // order is sent when all of them are in the queue.
  co_await asio::post(m_context, asio::use_awaitable);
  while (!m_queues[aFirstAddress].m_waiting.empty()) {
    RerouteTask task = std::move(m_queues[aFirstAddress].m_waiting.front());
    m_queues[aFirstAddress].m_waiting.pop_front();
    const EndpointCallPtr stream = task.m_stream;
    if (stream->End() != CallEnd::None) {
      stream->SetRerouting(false);
      continue;
    }
    try {
      co_await SendOrder(std::move(task));
    } catch (const std::exception&) {
      LogException("a reroute order", std::current_exception());
      stream->SetRerouting(false);
    }
  }
  if (--m_queues[aFirstAddress].m_workers == 0) {
    m_queues.erase(aFirstAddress);
  }
}

StagePathPtr
StreamRerouter::FindPath(const EndpointCall& aStream,
                         const RerouteRequest& aRequest)
{
  return m_routing->ServiceState(aStream.Target()->m_service)
    .m_paths.Reroute(BootClock::now(), *aStream.Path(), aRequest);
}

asio::awaitable<void>
StreamRerouter::SendOrder(RerouteTask aTask)
{
  EndpointCall& stream = *aTask.m_stream;
  std::string_view outcome = "no_answer";
  for (int i = 0; i < kMaxOrders && aTask.m_path; ++i) {
    const CallResult result = co_await m_client.Call(
      stream.Target()->m_address,
      m_dialect.MakeRerouteOrder(stream.AttemptId(), *aTask.m_path),
      kOrderTimeout,
      ConnectionChoice::Reuse);
    if (!result.m_response) {
      if (stream.End() != CallEnd::None) {
        stream.SetRerouting(false);
        co_return;
      }
      break;
    }
    const RerouteAnswer answer = m_dialect.ParseRerouteAnswer(
      result.m_response->result_int(), result.m_response->body());
    if (answer.m_isAccepted) {
      stream.SetPath(aTask.m_path);
      stream.SetRerouting(false);
      RecordOutcome(stream, "taken", aTask.m_startedAt);
      co_return;
    }
    if (stream.End() != CallEnd::None) {
      stream.SetRerouting(false);
      co_return;
    }
    outcome = "refused";
    const std::string fault = FindStageId(*aTask.m_path, answer.m_faultAddress);
    if (fault.empty()) {
      break;
    }
    aTask.m_request.m_excluded.push_back(fault);
    aTask.m_path = FindPath(stream, aTask.m_request);
    if (aTask.m_path) {
      TakeQuotas(aTask);
    }
  }
  RecordOutcome(stream, outcome, aTask.m_startedAt);
  stream.SetRerouting(false);
  stream.DenyReroute();
  // A stream whose stage is only slow keeps its path.
  const auto& stages = stream.Path()->m_stages;
  const TimePoint now = BootClock::now();
  const bool hasFailedStage =
    std::any_of(stages.begin(), stages.end(), [now](const PathStage& aStage) {
      return aStage.m_runner->m_load->Circuit(now) != CircuitState::Closed;
    });
  if (hasFailedStage) {
    Restart(stream);
  }
}

std::string
StreamRerouter::FindStageId(const StagePath& aPath, std::string_view aAddress)
{
  const auto address = SocketAddress::Parse(aAddress);
  const auto& stages = aPath.m_stages;
  const auto stage =
    std::find_if(stages.begin(), stages.end(), [&](const PathStage& aStage) {
      return address && aStage.m_runner->m_address == *address;
    });
  return stage == stages.end() ? std::string{} : stage->m_runner->m_id;
}

void
StreamRerouter::RecordOutcome(const EndpointCall& aStream,
                              std::string_view aOutcome,
                              TimePoint aStartedAt)
{
  ++m_metrics->Reroutes();
  m_log.Write(DecisionEvent::StreamRerouted, [&](DecisionLine& aLine) {
    aLine.Add("id", aStream.AttemptId())
      .Add("first", aStream.Target()->m_id)
      .Add("outcome", aOutcome)
      .Add("path", aStream.Path()->Describe())
      .Add("crossings", static_cast<std::int64_t>(aStream.Path()->m_crossings))
      .AddMs("took_ms", BootClock::now() - aStartedAt);
  });
}

bool
StreamRerouter::ShouldRestart(const RerouteTask& aTask) const
{
  const EndpointCall& stream = *aTask.m_stream;
  const RerouteLoad load =
    m_routing->ServiceState(stream.Target()->m_service)
      .m_paths.EstimateRerouteLoad(BootClock::now(),
                                   *stream.Path(),
                                   *aTask.m_path,
                                   stream.ExpectedTokens());
  Random draw(aTask.m_request.m_seed);
  return draw.Fraction() > ComputeRerouteShare(load);
}

bool
StreamRerouter::Restart(EndpointCall& aStream)
{
  const bool mayMove = aStream.ClaimMove();
  if (mayMove) {
    aStream.Suspend(CallEnd::StageLost);
  }
  return mayMove;
}

} // namespace parsleycove
