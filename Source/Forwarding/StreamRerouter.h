// Leads streams round a lost stage.
//
// Pattern: an engine dies under many streams. If they all begin anew, every
// stage of the other paths reads every prompt again and is busy with that for
// seconds. The first engine of a path can send a request's further tokens
// another way instead: then only the engine that steps in reads, and the retry
// budget is not touched.
//
// Where one engine would have to read for too many of them, a part of them
// begins anew all the same (RerouteShare).
//
// That pays within the zone only. To read the tokens so far, an engine in
// another zone needs 16 MB for each stream over a pipe that all streams share;
// fifty streams would wait for a second.
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

  // The parts that are made after the rerouter.
  void Attach(RoutingState& aRouting, ForwardMetrics& aMetrics);

  // Gives a stream with a lost stage another path from its first engine. Where
  // none is near the call ends, if the request may be sent again; only what may
  // not takes a path that leaves the zone.
  void MoveOffFailedStage(const EndpointCallPtr& aStream);
  // Gives a stream with a slow stage another path within its zone, if there is
  // one without slow engines.
  void MoveOffSlowStage(const EndpointCallPtr& aStream, const Runner& aSlow);

private:
  struct RerouteTask
  {
    EndpointCallPtr m_stream;
    StagePathPtr m_path;
    RerouteRequest m_request;
    TimePoint m_startedAt;

    // It leaves the zone no more often than before.
    bool AddsNoCrossing() const;
  };
  // Moves that wait for one first engine, and how many are under way.
  struct RerouteQueue
  {
    std::deque<RerouteTask> m_waiting;
    int m_workers = 0;
  };

  RerouteTask MakeTask(const EndpointCallPtr& aStream) const;
  StagePathPtr FindPath(const EndpointCall& aStream,
                        const RerouteRequest& aRequest);
  void Enqueue(RerouteTask aTask);
  // Gives the orders of one queue, one after the other.
  asio::awaitable<void> RunWorker(std::string aFirstAddress);
  asio::awaitable<void> SendOrder(RerouteTask aTask);
  void RecordOutcome(const EndpointCall& aStream,
                     std::string_view aOutcome,
                     TimePoint aStartedAt);
  // The stage with that address; empty: none.
  static std::string FindStageId(const StagePath& aPath,
                                 std::string_view aAddress);
  // Its share of the streams with the same lost stage begins anew, so that
  // those that are led round wait less.
  bool ShouldRestart(const RerouteTask& aTask) const;
  // Lets the request begin anew at another path; false: it may not.
  static bool Restart(EndpointCall& aStream);

  asio::io_context& m_context;
  const ForwardDialect& m_dialect;
  DecisionLog& m_log;
  RoutingState* m_routing = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  EndpointClient m_client;
  // By the first engine's address.
  std::unordered_map<std::string, RerouteQueue> m_queues;
};

} // namespace parsleycove
