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

#include "Forwarding/EndpointClient.h"
#include "Forwarding/ForwardCall.h"
#include "Forwarding/ForwardDialect.h"
#include "Forwarding/ForwardMetrics.h"
#include "Forwarding/RoutingBoard.h"
#include "Telemetry/DecisionLog.h"

namespace parsleycove {

class StreamRerouter
{
public:
  StreamRerouter(asio::io_context& aContext,
                 const ForwardDialect& aDialect,
                 DecisionLog& aLog);

  // The parts that are made after the rerouter.
  void Attach(RoutingBoard& aBoard, ForwardMetrics& aMetrics);

  // Gives a stream with a lost stage another path from its first engine. Where
  // none is near the call ends, if the request may be sent again; only what may
  // not takes a path that leaves the zone.
  void Leave(const ForwardCallPtr& aStream);
  // Gives a stream with a slow stage another path within its zone, if there is
  // one without slow engines.
  void LeaveSlow(const ForwardCallPtr& aStream, const Runner& aSlow);

private:
  struct Move
  {
    ForwardCallPtr m_stream;
    StagePathPtr m_path;
    RerouteRequest m_request;
    TimePoint m_since;

    // It leaves the zone no more often than before.
    bool IsNear() const;
  };
  // Moves that wait for one first engine, and how many are under way.
  struct Lane
  {
    std::deque<Move> m_waiting;
    int m_workers = 0;
  };

  Move MakeMove(const ForwardCallPtr& aStream) const;
  StagePathPtr FindPath(const ForwardCall& aStream,
                        const RerouteRequest& aRequest);
  void Enqueue(Move aMove);
  // Gives the orders of one lane, one after the other.
  asio::awaitable<void> Work(std::string aFirst);
  asio::awaitable<void> Give(Move aMove);
  void NoteOutcome(const ForwardCall& aStream,
                   std::string_view aOutcome,
                   TimePoint aSince);
  // The stage with that address; empty: none.
  static std::string IdAt(const StagePath& aPath, std::string_view aAddress);
  // Its share of the streams with the same lost stage begins anew, so that
  // those that are led round wait less.
  bool PrefersRestart(const Move& aMove) const;
  // Lets the request begin anew at another path; false: it may not.
  static bool Restart(ForwardCall& aStream);

  asio::io_context& m_context;
  const ForwardDialect& m_dialect;
  DecisionLog& m_log;
  RoutingBoard* m_board = nullptr;
  ForwardMetrics* m_metrics = nullptr;
  EndpointClient m_client;
  // By the first engine's address.
  std::unordered_map<std::string, Lane> m_lanes;
};

} // namespace parsleycove
