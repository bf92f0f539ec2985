// Reroutes streams around a failed or slow stage.
//
// When an engine with many streams fails and all of them restart, every stage
// of the other paths repeats the prefill of every prompt and is busy for
// seconds. Instead, the first engine of a path can send the remaining tokens of
// a request through another path: then only the replacement engine runs the
// prefill, and the retry budget is not charged.
//
// If one replacement engine would have to run the prefill of too many streams,
// a part of these streams restarts nevertheless (RerouteShare).
//
// Rerouting pays off only within the availability zone. For the prefill, an
// engine in another zone receives 16 MB per stream over a link that all streams
// share; fifty streams would wait for about a second.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "Forwarding/EndpointCall.h"
#include "Forwarding/EndpointClient.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/RoutingState.h"
#include "Telemetry/DecisionLog.h"

namespace parsleycove {

class StreamRerouter
{
public:
  StreamRerouter(asio::io_context& aContext,
                 const ForwardDialect& aDialect,
                 DecisionLog& aLog);

  // Sets the components that are constructed after the rerouter.
  void Attach(RoutingState& aRouting, ForwardMetrics& aMetrics);

  // Reroutes a stream with a failed stage, keeping its first engine. If no path
  // with at most the present number of zone crossings is left, the call ends so
  // that the request is retried; a request that must not be retried takes a
  // path with more crossings.
  void MoveOffFailedStage(const EndpointCallPtr& aStream);
  // Reroutes a stream with a slow stage if a path without slow engines exists
  // that has no more zone crossings than the present path.
  void MoveOffSlowStage(const EndpointCallPtr& aStream, const Runner& aSlow);

private:
  struct RerouteTask
  {
    EndpointCallPtr m_stream;
    StagePathPtr m_path;
    RerouteRequest m_request;
    TimePoint m_startedAt;

    // Returns true if the new path has no more zone crossings than the old one.
    bool AddsNoCrossing() const;
  };
  // Tasks that wait for one first engine, and the coroutines that run them. The
  // replacement engine reads the prompts one after the other, so the streams of
  // the most urgent level are first.
  struct RerouteQueue
  {
    std::deque<RerouteTask> m_waiting;
    int m_workers = 0;
  };

  RerouteTask MakeTask(const EndpointCallPtr& aStream) const;
  StagePathPtr FindPath(const EndpointCall& aStream,
                        const RerouteRequest& aRequest);
  // Counts the stream for the limits of the engines that are new on its path.
  static void TakeQuotas(const RerouteTask& aTask);
  void Enqueue(RerouteTask aTask);
  // Sends the orders of one queue, one after the other.
  asio::awaitable<void> RunWorker(std::string aFirstAddress);
  asio::awaitable<void> SendOrder(RerouteTask aTask);
  void RecordOutcome(const EndpointCall& aStream,
                     std::string_view aOutcome,
                     TimePoint aStartedAt);
  // Returns the id of the stage with this address, or an empty string.
  static std::string FindStageId(const StagePath& aPath,
                                 std::string_view aAddress);
  // Returns true for the share of the streams that restart, so that the
  // rerouted streams with the same failed stage wait less.
  bool ShouldRestart(const RerouteTask& aTask) const;
  // Ends the call so that the request is retried on another path. Returns false
  // if the request must not be retried now.
  static bool Restart(EndpointCall& aStream);

  asio::io_context& m_context;
  const ForwardDialect& m_dialect;
  DecisionLog& m_log;
  RoutingState* m_routing = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  EndpointClient m_client;
  // Keyed by the address of the first engine.
  std::unordered_map<std::string, RerouteQueue> m_queues;
};

} // namespace parsleycove
