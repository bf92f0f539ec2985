// A control replica with its own thread: log, store, state, peers and feeds.
#pragma once

#include <cstdint>
#include <memory>

#include "Control/ReplicaServiceOptions.h"

namespace parsleycove {

// Runs one member of the replicated log and feeds gateways from it.
class ReplicaService
{
public:
  // Opens the data folder and listens. Null with a reason when it cannot.
  static std::unique_ptr<ReplicaService> Start(
    const ReplicaServiceOptions& aOptions,
    ControlServiceReason& aReason);
  ~ReplicaService();
  ReplicaService(const ReplicaService&) = delete;
  ReplicaService& operator=(const ReplicaService&) = delete;

  // Closes every link and joins the thread. May be called again.
  void Stop();

  // True while this replica leads inside its lease. Any thread.
  bool IsLeader() const;
  // Term that this replica leads, 0 while it does not. Any thread.
  std::uint64_t LedTerm() const;
  std::uint64_t AppliedIndex() const;

private:
  class Thread;

  explicit ReplicaService(std::unique_ptr<Thread> aThread);

  std::unique_ptr<Thread> m_thread;
};

} // namespace parsleycove
