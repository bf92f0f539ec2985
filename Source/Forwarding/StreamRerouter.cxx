// Leads streams round a lost stage.
#include "Forwarding/StreamRerouter.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Routing/Random.h"

namespace parsleycove {

namespace {

// Engines answer orders without a slot within a round trip; a pause of 200 ms
// is the most that streams bear.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(80);
// An engine without room is replaced by another one; more would take longer
// than beginning anew.
constexpr int kMaxOrders = 3;
// Orders to one engine at a time: many new connections at once overflow its
// queue, and one order that is not answered must not hold up the others.
constexpr int kMaxWorkers = 3;

} // namespace

StreamRerouter::StreamRerouter(asio::io_context& aContext,
                               const ForwardDialect& aDialect,
                               DecisionLog& aLog)
  : m_context(aContext)
  , m_dialect(aDialect)
  , m_log(aLog)
  , m_client(aContext.get_executor())
{
}

void
StreamRerouter::Attach(RoutingBoard& aBoard, ForwardMetrics& aMetrics)
{
  m_board = &aBoard;
  m_metrics = &aMetrics;
}

bool
StreamRerouter::Move::IsNear() const
{
  return m_path && m_path->m_crossings <= m_stream->Path()->m_crossings;
}

StreamRerouter::Move
StreamRerouter::MakeMove(const ForwardCallPtr& aStream) const
{
  Move move{ aStream, nullptr, {}, BootClock::now() };
  move.m_request.m_tokens = aStream->ExpectedTokens();
  move.m_request.m_seed = HashId(aStream->AttemptId());
  return move;
}

void
StreamRerouter::LeaveSlow(const ForwardCallPtr& aStream, const Runner& aSlow)
{
  const bool isStage = aStream->Path()->Uses(aSlow.m_id) &&
                       aStream->Path()->First().m_id != aSlow.m_id;
  if (!isStage || aStream->IsRerouting() || !aStream->MayReroute()) {
    return;
  }
  Move move = MakeMove(aStream);
  move.m_request.m_excluded.push_back(aSlow.m_id);
  move.m_path = FindPath(*aStream, move.m_request);
  if (move.IsNear()) {
    Enqueue(std::move(move));
  }
}

void
StreamRerouter::Leave(const ForwardCallPtr& aStream)
{
  if (aStream->IsRerouting()) {
    return;
  }
  Move move = MakeMove(aStream);
  if (aStream->MayReroute()) {
    move.m_path = FindPath(*aStream, move.m_request);
  }
  const bool stays = move.IsNear() && !PrefersRestart(move);
  if ((stays || !Restart(*aStream)) && move.m_path) {
    Enqueue(std::move(move));
  }
}

void
StreamRerouter::Enqueue(Move aMove)
{
  aMove.m_stream->SetRerouting(true);
  const std::string first = aMove.m_stream->Target()->m_address.ToString();
  Lane& lane = m_lanes[first];
  lane.m_waiting.push_back(std::move(aMove));
  if (lane.m_workers < kMaxWorkers) {
    ++lane.m_workers;
    asio::co_spawn(m_context, Work(first), asio::detached);
  }
}

asio::awaitable<void>
StreamRerouter::Work(std::string aFirst)
{
  while (!m_lanes[aFirst].m_waiting.empty()) {
    Move move = std::move(m_lanes[aFirst].m_waiting.front());
    m_lanes[aFirst].m_waiting.pop_front();
    if (move.m_stream->End() == CallEnd::None) {
      co_await Give(std::move(move));
    }
  }
  if (--m_lanes[aFirst].m_workers == 0) {
    m_lanes.erase(aFirst);
  }
}

StagePathPtr
StreamRerouter::FindPath(const ForwardCall& aStream,
                         const RerouteRequest& aRequest)
{
  return m_board->DeskOf(aStream.Target()->m_service)
    .m_paths.Reroute(BootClock::now(), *aStream.Path(), aRequest);
}

asio::awaitable<void>
StreamRerouter::Give(Move aMove)
{
  ForwardCall& stream = *aMove.m_stream;
  std::string_view outcome = "no_answer";
  for (int i = 0; i < kMaxOrders && aMove.m_path; ++i) {
    const CallResult result = co_await m_client.Call(
      stream.Target()->m_address,
      m_dialect.MakeRerouteOrder(stream.AttemptId(), *aMove.m_path),
      kOrderTimeout,
      ConnectionChoice::Reuse);
    if (stream.End() != CallEnd::None) {
      co_return;
    }
    if (!result.m_response) {
      break;
    }
    const RerouteAnswer answer = m_dialect.ParseRerouteAnswer(
      result.m_response->result_int(), result.m_response->body());
    if (answer.m_isAccepted) {
      stream.TakePath(aMove.m_path);
      stream.SetRerouting(false);
      NoteOutcome(stream, "taken", aMove.m_since);
      co_return;
    }
    outcome = "refused";
    const std::string fault = IdAt(*aMove.m_path, answer.m_faultAddress);
    if (fault.empty()) {
      break;
    }
    aMove.m_request.m_excluded.push_back(fault);
    aMove.m_path = FindPath(stream, aMove.m_request);
  }
  NoteOutcome(stream, outcome, aMove.m_since);
  stream.SetRerouting(false);
  stream.DenyReroute();
  // A stream with a slow stage only stays where it is.
  const auto& stages = stream.Path()->m_stages;
  const TimePoint now = BootClock::now();
  const bool hasLost =
    std::any_of(stages.begin(), stages.end(), [now](const PathStage& aStage) {
      return aStage.m_runner->m_load->Circuit(now) != CircuitState::Closed;
    });
  if (hasLost) {
    Restart(stream);
  }
}

std::string
StreamRerouter::IdAt(const StagePath& aPath, std::string_view aAddress)
{
  const auto& stages = aPath.m_stages;
  const auto stage =
    std::find_if(stages.begin(), stages.end(), [&](const PathStage& aStage) {
      return aStage.m_runner->m_address.ToString() == aAddress;
    });
  return stage == stages.end() ? std::string{} : stage->m_runner->m_id;
}

void
StreamRerouter::NoteOutcome(const ForwardCall& aStream,
                            std::string_view aOutcome,
                            TimePoint aSince)
{
  ++m_metrics->Reroutes();
  m_log.Write(DecisionEvent::StreamRerouted, [&](DecisionLine& aLine) {
    aLine.Add("id", aStream.AttemptId())
      .Add("first", aStream.Target()->m_id)
      .Add("outcome", aOutcome)
      .Add("path", aStream.Path()->Describe())
      .Add("crossings", static_cast<std::int64_t>(aStream.Path()->m_crossings))
      .AddMs("took_ms", BootClock::now() - aSince);
  });
}

bool
StreamRerouter::PrefersRestart(const Move& aMove) const
{
  const ForwardCall& stream = *aMove.m_stream;
  const RerouteLoad load =
    m_board->DeskOf(stream.Target()->m_service)
      .m_paths.EstimateRerouteLoad(BootClock::now(),
                                   *stream.Path(),
                                   *aMove.m_path,
                                   stream.ExpectedTokens());
  Random draw(aMove.m_request.m_seed);
  return draw.Fraction() > ComputeRerouteShare(load);
}

bool
StreamRerouter::Restart(ForwardCall& aStream)
{
  const bool mayMove = aStream.ClaimMove();
  if (mayMove) {
    aStream.Abort(CallEnd::StageLost);
  }
  return mayMove;
}

} // namespace parsleycove
