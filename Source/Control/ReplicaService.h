// Runs a control replica on its own thread: log, store, state machine, peer
// links and gateway feeds.
#pragma once

#include <cstdint>
#include <memory>

#include "Control/ByteGauges.h"
#include "Control/GroupGauges.h"
#include "Control/ReplicaServiceOptions.h"

namespace parsleycove {

// Runs one member of the replicated log and sends its configuration to
// gateways.
class ReplicaService
{
public:
  // Opens the data folder and listens. Returns nullptr and sets aReason on
  // failure.
  static std::unique_ptr<ReplicaService> Start(
    const ReplicaServiceOptions& aOptions,
    ControlServiceReason& aReason);
  ~ReplicaService();
  ReplicaService(const ReplicaService&) = delete;
  ReplicaService& operator=(const ReplicaService&) = delete;

  // Closes every link and joins the thread. Later calls have no effect.
  void Stop();

  // Returns whether this replica is the leader and its leader lease is valid.
  // May be called from any thread.
  bool IsLeader() const;
  // Returns the term in which this replica is the leader, 0 while IsLeader() is
  // false. May be called from any thread.
  std::uint64_t LedTerm() const;
  std::uint64_t AppliedIndex() const;
  // The members as this replica's log has them. May be read from any thread.
  const GroupGauges& Gauges() const;
  // What this replica keeps. May be read from any thread.
  const ByteGauges& Bytes() const;

private:
  class Thread;

  explicit ReplicaService(std::unique_ptr<Thread> aThread);

  std::unique_ptr<Thread> m_thread;
};

} // namespace parsleycove
