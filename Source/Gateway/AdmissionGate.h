// Lets requests of one worker wait for their turn.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "Forwarding/AsyncSlot.h"
#include "Routing/AdmissionController.h"
#include "Wire/Http.h"

namespace parsleycove {

// The shell around AdmissionController.
//
// Invariant: used from one thread only.
class AdmissionGate
{
public:
  explicit AdmissionGate(asio::any_io_executor aExecutor);

  // Sets this worker's share of a resource's capacity, in cost per second.
  void SetCapacity(const std::string& aResource, double aCostPerSecond);
  // Waits until the request may start or is refused. An admitted request
  // ends with Leave.
  asio::awaitable<AdmissionDecision> Enter(AdmissionRequest aRequest);
  void Leave(std::uint64_t aId, const AdmissionOutcome& aOutcome);
  std::uint64_t NewId() { return ++m_lastId; }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  using Slot = AsyncSlot<AdmissionDecision>;

  void Pump();
  void ScheduleTimer();
  void Resolve(std::uint64_t aId, const AdmissionDecision& aDecision);

  asio::any_io_executor m_executor;
  AdmissionController m_controller;
  asio::steady_timer m_timer;
  std::unordered_map<std::uint64_t, std::shared_ptr<Slot>> m_waiting;
  std::uint64_t m_lastId = 0;
};

} // namespace parsleycove
